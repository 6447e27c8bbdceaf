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

/** The stand-in registry. Each front has its own view, which each change reaches after its own delay. On one loop. */
public final class StandinRegistry {
    private static final long POLL_TIMEOUT_MS = 20_000;

    /** The entries and changes that have been published to one front. */
    private static final class FrontView {
        private final Map<String, Entry> boxes = new LinkedHashMap<>();
        private final List<Entry> log = new ArrayList<>();
        private Exchange pendingPoll;
        private long pendingVersion;
        private ScheduledFuture<?> timeout;
    }

    private final ObjectMapper json = new ObjectMapper();
    private final EventLoop loop;
    private final EventRecorder recorder;
    private final long epoch = System.currentTimeMillis();
    private final UniformRandomProvider random;
    private final ArrayNode titles = json.createArrayNode();
    private final Map<String, Entry> currentEntries = new LinkedHashMap<>();
    private final Map<Integer, FrontView> views = new HashMap<>();
    private Channel server;

    /** Creates a registry; {@link #listen} starts it. */
    public StandinRegistry(EventLoop loop, EventRecorder recorder, long seed) {
        this.loop = loop;
        this.recorder = recorder;
        random = RandomStreams.of(seed, "registry");
    }

    /** Adds a title to the catalogue. Must be called before the registry listens. */
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

    /** Adds all titles of a day, placed by the seed. Must be called before the registry listens. */
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

    /** Adds boxes that every front knows from the start. Must be called before the registry listens. */
    public void addBoxes(Collection<Entry> boxes) {
        boxes.forEach(box -> currentEntries.put(box.id(), box));
    }

    /** Listens on a port that the system picks, and returns the port. */
    public int listen() throws IOException {
        server = LoopbackServer.listen(loop, 0, channel -> {}, this::route);
        return LoopbackServer.port(server);
    }

    /** Changes the entry of a box. Each front receives it after a delay drawn from the range. On the loop. */
    public void updateBox(Entry box, List<Double> delayRangeMs) {
        currentEntries.put(box.id(), box);
        for (FrontView view : views.values()) {
            loop.schedule(
                    () -> publish(view, box),
                    (long) RandomStreams.uniform(random, delayRangeMs),
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Returns the current entry of a box, or null for an unknown box. */
    public Entry currentEntry(String id) {
        return currentEntries.get(id);
    }

    private void publish(FrontView view, Entry box) {
        Entry previous = view.boxes.get(box.id());
        if (previous != null && previous.startedAt() > box.startedAt()) {
            // The entry of a later process has been published first: the end of the earlier process is obsolete.
            return;
        }
        view.boxes.put(box.id(), box);
        view.log.add(box);
        if (view.pendingPoll != null) {
            respondToPoll(view);
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
        FrontView view = views.computeIfAbsent(number, n -> {
            FrontView created = new FrontView();
            created.boxes.putAll(currentEntries);
            return created;
        });
        if (view.pendingPoll != null && !view.pendingPoll.isEnded()) {
            view.pendingPoll.respond(204, new Headers(), new byte[0]);
        }
        cancelTimeout(view);
        boolean sameEpoch = Long.toString(epoch).equals(exchange.head().queryParameter("epoch"));
        view.pendingPoll = exchange;
        view.pendingVersion = sameEpoch ? Long.parseLong(version) : -1;
        if (view.pendingVersion < view.log.size()) {
            respondToPoll(view, number);
            return;
        }
        view.timeout = loop.schedule(
                () -> {
                    exchange.respond(204, new Headers(), new byte[0]);
                    view.pendingPoll = null;
                },
                POLL_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
    }

    private static void cancelTimeout(FrontView view) {
        if (view.timeout != null) {
            view.timeout.cancel(false);
            view.timeout = null;
        }
    }

    /** Answers the pending poll of the front that the view belongs to: with all boxes or with the changes. */
    private void respondToPoll(FrontView view) {
        views.forEach((number, candidate) -> {
            if (candidate == view) {
                respondToPoll(view, number);
            }
        });
    }

    private void respondToPoll(FrontView view, int front) {
        cancelTimeout(view);
        Exchange exchange = view.pendingPoll;
        view.pendingPoll = null;
        if (exchange.isEnded()) {
            return;
        }
        boolean complete = view.pendingVersion < 0 || view.pendingVersion > view.log.size();
        Collection<Entry> boxes =
                complete ? view.boxes.values() : view.log.subList((int) view.pendingVersion, view.log.size());
        ObjectNode document = json.createObjectNode()
                .put("kind", complete ? "whole" : "changes")
                .put("epoch", epoch)
                .put("base", view.pendingVersion)
                .put("version", view.log.size());
        ArrayNode list = document.putArray("boxes");
        double now = recorder.nowMs();
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
            recorder.record(new TraceEvent.BoxStateSent(now, front, box.id(), box.state(), box.startedAt()));
        }
        if (complete) {
            document.set("titles", titles);
        }
        exchange.respond(
                200,
                Headers.of("content-type", "application/json"),
                document.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Closes the listening port. */
    public void close() {
        if (server != null) {
            server.close();
        }
    }
}
