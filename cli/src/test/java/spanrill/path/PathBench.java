package spanrill.path;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import spanrill.check.EventRecorder;
import spanrill.front.FrontDaemon;
import spanrill.front.FrontSettings;
import spanrill.standin.registry.Entry;
import spanrill.standin.registry.StandinRegistry;
import spanrill.standin.token.Issuer;

/**
 * One real front on sockets with scripted boxes, a registry and an issuer; the viewer is the JDK's
 * client.
 */
final class PathBench implements AutoCloseable {
    final List<ScriptedBox> boxes = new ArrayList<>();
    final EventRecorder tap;
    final Issuer issuer;
    final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Path folder;
    private final StandinRegistry registry;
    private final int registryPort;
    private FrontDaemon front;
    private int tokens;

    PathBench(Path folder, int count) throws Exception {
        this.folder = folder;
        tap = new EventRecorder(null);
        registry = new StandinRegistry(group.next(), tap, 1);
        registry.addTitle("title", 0, count, 600_000, List.of(2000L), 0);
        registry.addTitle("spoken", 0, count, 7000, List.of(2000L, 1900L), 24);
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            boxes.add(new ScriptedBox(group.next(), i));
            entries.add(boxes.get(i).entry("ready"));
        }
        registry.addBoxes(entries);
        registryPort = registry.listen();
        issuer = Issuer.generate("k");
        Issuer.writeVerificationKeys(folder.resolve("keys.json"), issuer);
        front = start();
    }

    private FrontDaemon start() throws Exception {
        FrontDaemon daemon = FrontDaemon.start(settings(), folder);
        daemon.ready().get(10, TimeUnit.SECONDS);
        return daemon;
    }

    private FrontSettings settings() {
        return new FrontSettings(
                0,
                1,
                "a",
                1,
                new FrontSettings.Address("127.0.0.1", 0),
                new FrontSettings.Address("127.0.0.1", registryPort),
                "keys.json",
                "state",
                Map.of(
                        "free",
                        new FrontSettings.ClassSettings(300, 1500, 1, false, 0, 4, 1, 0),
                        "paid",
                        new FrontSettings.ClassSettings(300, 1500, 3, true, 1, 4, 1, 0)),
                Map.of(),
                Map.of("std", new FrontSettings.KindSettings(24)),
                new FrontSettings.Ladder(
                        List.of(200.0, 350.0, 600.0, 1000.0, 1700.0), List.of(0.2, 0.4, 0.6, 0.8, 1.0)),
                new FrontSettings.Fleet(boxes.size(), 1, 40_000, 10_000, 30_000),
                new FrontSettings.Notes(800, 3000, 6, 500),
                new FrontSettings.Rules(5, 2000, 0, 1, 250, 0, 0.5, 2, 1500, null, null, null),
                new FrontSettings.Limits(150, 5000, 32, 32, 250, 8000, 1500, 100, 300, 250, 1000, 2, 100, 100),
                new FrontSettings.Web(List.of("http://player.example")));
    }

    /** Kills the front and starts it again, with the registry gone when it is asked so. */
    void restart(boolean withRegistry) throws Exception {
        front.close();
        if (!withRegistry) {
            registry.close();
        }
        front = start();
    }

    int port() {
        return front.port();
    }

    int sessions() {
        return front.sessionCount();
    }

    String token(String cls) {
        return token("t" + ++tokens, cls);
    }

    String token(String id, String cls) {
        return issuer.issue(id, "viewer", "title", cls, null, 4, 300);
    }

    void change(ScriptedBox box, String state) throws Exception {
        group.next()
                .submit(() -> registry.updateBox(box.entry(state), List.of(0.0, 0.0)))
                .get(5, TimeUnit.SECONDS);
    }

    URI manifest(String token) {
        return uri("/dash/title/manifest.mpd?token=" + token);
    }

    URI uri(String path) {
        return URI.create("http://127.0.0.1:" + front.port() + path);
    }

    HttpResponse<String> get(URI uri) throws IOException, InterruptedException {
        return client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> ask(String token) throws IOException, InterruptedException {
        return get(manifest(token));
    }

    static String answer(HttpResponse<?> response) {
        return response.headers().firstValue("spanrill-answer").orElse("?");
    }

    int allSetUps() {
        return boxes.stream().mapToInt(box -> box.setUps.size()).sum();
    }

    @Override
    public void close() throws IOException {
        front.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(5, TimeUnit.SECONDS);
        tap.close();
    }
}
