package spanrill.front.list;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import spanrill.decisions.BoxDirectory;
import spanrill.front.FrontSettings;
import spanrill.loop.Clock;
import spanrill.loop.EventLoopScheduler;
import spanrill.session.EventSink;
import spanrill.session.SessionCore;
import spanrill.session.SpentTokenStore;

/** Tests the registry client by itself, with a core that fails while a list is applied. */
@Timeout(30)
class RegistryClientTest {
    private static final String LIST = "{\"kind\":\"whole\",\"epoch\":1,\"base\":-1,\"version\":5,\"boxes\":["
            + "{\"id\":\"b\",\"zone\":\"a\",\"kind\":\"std\",\"cell\":0,\"state\":\"ready\",\"weight\":1,"
            + "\"startedAt\":0,\"host\":\"127.0.0.1\",\"port\":1}],\"titles\":["
            + "{\"name\":\"t\",\"home\":0,\"copies\":1,\"durationMs\":60000,\"segmentMs\":2000}]}";

    @TempDir
    Path folder;

    private final BlockingQueue<String> requestLines = new LinkedBlockingQueue<>();

    /** Answers each request on a connection of its own with the same complete list. */
    private void serve(ServerSocket listener) {
        try {
            while (true) {
                try (Socket socket = listener.accept()) {
                    BufferedReader reader =
                            new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
                    requestLines.add(reader.readLine());
                    while (!reader.readLine().isEmpty()) {
                        // The headers are not looked at.
                    }
                    String head =
                            "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: " + LIST.length() + "\r\n\r\n";
                    socket.getOutputStream().write((head + LIST).getBytes(StandardCharsets.UTF_8));
                }
            }
        } catch (IOException e) {
            // Closed by the test.
        }
    }

    private static FrontSettings settings(int registryPort) {
        return new FrontSettings(
                0,
                1,
                "a",
                1,
                new FrontSettings.Address("127.0.0.1", 0),
                new FrontSettings.Address("127.0.0.1", registryPort),
                "keys.json",
                "state",
                Map.of("free", new FrontSettings.ClassSettings(300, 1500, 1, false, 0, 1, 1, 0)),
                Map.of(),
                Map.of("std", new FrontSettings.KindSettings(24)),
                new FrontSettings.Ladder(List.of(200.0, 350.0), List.of(0.5, 1.0)),
                new FrontSettings.Fleet(1, 1, 40_000, 10_000, 30_000),
                new FrontSettings.Notes(800, 3000, 6, 500),
                new FrontSettings.Rules(5, 2000, 0, 1, 250, 0, 0.5, 2, 1500, null, null, null),
                new FrontSettings.Limits(150, 5000, 32, 32, 250, 8000, 1500, 100, 300, 250, 1000, 2, 100, 100),
                new FrontSettings.Web(List.of()));
    }

    /** Guards against a front that polls no more and misses a version because applying a list failed once. */
    @Test
    void wholeListIsRequestedAgainWhenAListCannotBeApplied() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
            Thread registry = new Thread(() -> serve(listener), "registry");
            registry.setDaemon(true);
            registry.start();
            FrontSettings settings = settings(listener.getLocalPort());
            SessionCore core = new SessionCore(
                    settings.coreSettings(),
                    new SessionCore.Host(
                            new EventLoopScheduler(loop, new Clock()),
                            EventSink.none(),
                            SpentTokenStore.none(),
                            () -> "id"));
            core.onReady(() -> {
                throw new IllegalStateException("the list cannot be applied");
            });
            RegistryClient client = new RegistryClient(
                    settings, loop, core, new BoxDirectory(10), new BoxListFile(folder), Runnable::run);
            loop.submit(client::start).syncUninterruptibly();
            for (int poll = 1; poll <= 2; poll++) {
                String request = requestLines.poll(10, TimeUnit.SECONDS);
                assertNotNull(request, "poll " + poll);
                assertEquals("-1", request.replaceAll(".*version=(-?\\d+).*", "$1"), "asks for the whole list");
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }
}
