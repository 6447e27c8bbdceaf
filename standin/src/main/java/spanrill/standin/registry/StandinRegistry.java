package spanrill.standin.registry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import spanrill.check.EventRecorder;
import spanrill.check.TraceEvent;
import spanrill.day.Day;
import spanrill.day.DayPlan;
import spanrill.model.RandomStreams;
import spanrill.standin.LoopbackServer;
import spanrill.wire.http.Exchange;
import spanrill.wire.http.Headers;

/** Each front has a view of its own, which a change reaches at a time of its own. On one loop. */
public final class StandinRegistry {
    private static final long POLL_MS = 20_000;

    /** What one front has been able to hear. */
    private static final class View {
        private final Map<String, Entry> boxes = new LinkedHashMap<>();
        private final List<Entry> log = new ArrayList<>();
        private Exchange waiting;
        private long waitingVersion;
        private ScheduledFuture<?> timeout;
    }

    private final ObjectMapper json = new ObjectMapper();
    private final EventLoop loop;
    private final EventRecorder tap;
    private final long epoch = System.currentTimeMillis();
    private final UniformRandomProvider random;
    private final ArrayNode titles = json.createArrayNode();
    private final Map<String, Entry> truth = new LinkedHashMap<>();
    private final Map<Integer, View> views = new HashMap<>();
    private Channel server;

    /** A registry; {@link #listen} opens it. */
    public StandinRegistry(EventLoop loop, EventRecorder tap, long seed) {
        this.loop = loop;
        this.tap = tap;
        random = RandomStreams.of(seed, "registry");
    }

    /** Adds a title to the catalogue; before it listens. */
    public void addTitle(String name, int home, int copies, long durationMs, List<Long> segmentMs, double audioKb) {
        ObjectNode title = titles.addObject()
                .put("name", name)
                .put("home", home)
                .put("copies", copies)
                .put("durationMs", durationMs);
        if (segmentMs.size() == 1) {
            title.put("segmentMs", segmentMs.get(0));
        } else {
            segmentMs.forEach(title.putArray("segmentMs")::add);
        }
        if (audioKb > 0) {
            title.put("audioKb", audioKb).put("lang", "ja");
        }
    }

    /** Adds all titles of a day, placed by its seed; before it listens. */
    public void addTitlesOf(Day day, long seed) {
        List<int[]> placement = new DayPlan(day, seed).titlePlacements();
        for (int i = 0; i < placement.size(); i++) {
            addTitle(
                    "title-" + i,
                    placement.get(i)[0],
                    placement.get(i)[1],
                    day.titles().durationMs(),
                    day.titles().segmentLengthsMs(),
                    day.titles().audioKb());
        }
    }

    /** Lists boxes that every front knows from the start; before it listens. */
    public void addBoxes(Collection<Entry> boxes) {
        boxes.forEach(box -> truth.put(box.id(), box));
    }

    /** Opens it on a port that the system picks. */
    public int listen() throws IOException {
        server = LoopbackServer.listen(loop, 0, channel -> {}, this::route);
        return LoopbackServer.port(server);
    }

    /** A box changed; each front hears it so much later, drawn from the range. On the loop. */
    public void updateBox(Entry box, List<Double> lateMs) {
        truth.put(box.id(), box);
        for (View view : views.values()) {
            loop.schedule(() -> hear(view, box), (long) RandomStreams.uniform(random, lateMs), TimeUnit.MILLISECONDS);
        }
    }

    /** How a box is listed now. */
    public Entry currentEntry(String id) {
        return truth.get(id);
    }

    private void hear(View view, Entry box) {
        Entry old = view.boxes.get(box.id());
        if (old != null && old.startedAt() > box.startedAt()) {
            // A later start was heard first: the old process's end is no news.
            return;
        }
        view.boxes.put(box.id(), box);
        view.log.add(box);
        if (view.waiting != null) {
            answer(view);
        }
    }

    private void route(Exchange exchange) {
        String front = exchange.head().queryParameter("front");
        String version = exchange.head().queryParameter("version");
        if (!exchange.head().path().equals("/boxes")
                || front == null
                || !front.matches("\\d{1,6}")
                || version == null
                || !version.matches("-?\\d{1,15}")) {
            exchange.respond(400, new Headers(), "text/plain", "front and version must be numbers\n");
            return;
        }
        int number = Integer.parseInt(front);
        View view = views.computeIfAbsent(number, n -> {
            View fresh = new View();
            fresh.boxes.putAll(truth);
            return fresh;
        });
        if (view.waiting != null && !view.waiting.isEnded()) {
            view.waiting.respond(204, new Headers(), new byte[0]);
        }
        cancel(view);
        boolean known = Long.toString(epoch).equals(exchange.head().queryParameter("epoch"));
        view.waiting = exchange;
        view.waitingVersion = known ? Long.parseLong(version) : -1;
        if (view.waitingVersion < view.log.size()) {
            answer(view, number);
            return;
        }
        view.timeout = loop.schedule(
                () -> {
                    exchange.respond(204, new Headers(), new byte[0]);
                    view.waiting = null;
                },
                POLL_MS,
                TimeUnit.MILLISECONDS);
    }

    private static void cancel(View view) {
        if (view.timeout != null) {
            view.timeout.cancel(false);
            view.timeout = null;
        }
    }

    private void answer(View view) {
        views.forEach((number, each) -> {
            if (each == view) {
                answer(view, number);
            }
        });
    }

    private void answer(View view, int front) {
        cancel(view);
        Exchange exchange = view.waiting;
        view.waiting = null;
        if (exchange.isEnded()) {
            return;
        }
        boolean whole = view.waitingVersion < 0 || view.waitingVersion > view.log.size();
        Collection<Entry> boxes =
                whole ? view.boxes.values() : view.log.subList((int) view.waitingVersion, view.log.size());
        ObjectNode document = json.createObjectNode()
                .put("kind", whole ? "whole" : "changes")
                .put("epoch", epoch)
                .put("base", view.waitingVersion)
                .put("version", view.log.size());
        ArrayNode list = document.putArray("boxes");
        double now = tap.nowMs();
        for (Entry box : boxes) {
            list.addObject()
                    .put("id", box.id())
                    .put("host", "127.0.0.1")
                    .put("port", box.port())
                    .put("zone", box.zone())
                    .put("kind", box.kind())
                    .put("cell", box.cell())
                    .put("state", box.state())
                    .put("weight", box.weight())
                    .put("startedAt", box.startedAt());
            tap.record(new TraceEvent.BoxStateSent(now, front, box.id(), box.state(), box.startedAt()));
        }
        if (whole) {
            document.set("titles", titles);
        }
        exchange.respond(
                200,
                Headers.of("content-type", "application/json"),
                document.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Stops. */
    public void close() {
        if (server != null) {
            server.close();
        }
    }
}
