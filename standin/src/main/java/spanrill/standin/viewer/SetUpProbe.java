package spanrill.standin.viewer;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import spanrill.wire.dash.InvalidMpdException;
import spanrill.wire.dash.MpdParser;
import spanrill.wire.http.HttpClientConnection;
import spanrill.wire.http.HttpLimits;

/** Requests one session, reports the base URL of its segments and closes the connection. */
public final class SetUpProbe {
    private SetUpProbe() {}

    /**
     * Requests a session of a title from a front. On the loop, calls {@code onSegmentBaseUrl} with the base URL from
     * the session's MPD, or {@code onFailure}.
     */
    public static void requestSession(
            EventLoop loop,
            InetSocketAddress front,
            String title,
            String token,
            Consumer<String> onSegmentBaseUrl,
            Consumer<Throwable> onFailure) {
        HttpClientConnection.open(
                loop,
                front,
                2000,
                HttpLimits.CLIENT,
                connection -> {
                    ResponseReader reader = new ResponseReader(true, () -> {}, (head, response) -> {
                        connection.abort();
                        if (head == null || head.status() != 200) {
                            onFailure.accept(
                                    new IOException(head == null ? "connection lost" : "answered " + head.status()));
                            return;
                        }
                        try {
                            onSegmentBaseUrl.accept(
                                    MpdParser.parse(response.text()).baseUrl());
                        } catch (InvalidMpdException fault) {
                            onFailure.accept(fault);
                        }
                    });
                    if (!ResponseReader.get(connection, "/dash/" + title + "/manifest.mpd?token=" + token, reader)) {
                        onFailure.accept(new IOException("connection lost"));
                    }
                },
                onFailure);
    }
}
