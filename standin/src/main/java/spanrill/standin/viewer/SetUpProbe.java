package spanrill.standin.viewer;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import spanrill.wire.dash.InvalidMpdException;
import spanrill.wire.dash.MpdParser;
import spanrill.wire.http.HttpClientConnection;
import spanrill.wire.http.HttpLimits;

/** Asks for one session and gives the base of its segments; the connection is closed then. */
public final class SetUpProbe {
    private SetUpProbe() {}

    /** Asks; one of the two is called, on the loop. */
    public static void ask(
            EventLoop loop,
            InetSocketAddress front,
            String title,
            String token,
            Consumer<String> plays,
            Consumer<Throwable> not) {
        HttpClientConnection.open(
                loop,
                front,
                2000,
                HttpLimits.CLIENT,
                connection -> {
                    ResponseReader link = new ResponseReader(true, () -> {}, (head, all) -> {
                        connection.abort();
                        if (head == null || head.status() != 200) {
                            not.accept(new IOException(head == null ? "connection lost" : "answered " + head.status()));
                            return;
                        }
                        try {
                            plays.accept(MpdParser.parse(all.text()).baseUrl());
                        } catch (InvalidMpdException fault) {
                            not.accept(fault);
                        }
                    });
                    if (!ResponseReader.get(connection, "/dash/" + title + "/manifest.mpd?token=" + token, link)) {
                        not.accept(new IOException("connection lost"));
                    }
                },
                not);
    }
}
