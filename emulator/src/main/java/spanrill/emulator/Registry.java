package spanrill.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import spanrill.SessionControl.ListKind;
import spanrill.SessionControl.Server;
import spanrill.SessionControl.ServerState;
import spanrill.check.TraceEvent;
import spanrill.model.RandomStreams;
import spanrill.session.Title;

/**
 * The registry: each front has a view of its own, which a change reaches at a time of its own. Fronts poll:
 * what changed while one was not waiting is told at its next poll.
 */
final class Registry {
    private static final double WAY_MS = 0.2;

    private static final class View {
        private final Map<String, Server> boxes = new LinkedHashMap<>();
        private final List<Server> news = new ArrayList<>();
        private List<Server> kept;
        private boolean polls;
        private int life = -1;
    }

    private final World world;
    private final UniformRandomProvider random;
    private final Map<String, Server> truth = new LinkedHashMap<>();
    private final Map<Integer, View> views = new LinkedHashMap<>();
    private final Map<String, Title> titles;

    Registry(World world, long seed, Map<String, Title> titles) {
        this.world = world;
        this.titles = titles;
        random = RandomStreams.of(seed, "registry");
    }

    static Server entry(Box box, ServerState state) {
        return new Server(
                box.plan().id(),
                box.plan().zone(),
                "std",
                box.plan().cell(),
                state,
                1,
                box.listedStart() == 0 ? Double.NaN : box.listedStart());
    }

    /** A box that every front knows from the start. */
    void begin(Box box) {
        truth.put(box.plan().id(), entry(box, ServerState.READY));
    }

    /** A front starts: it uses the list that it kept, and asks for the whole. */
    void frontStarts(Front front) {
        View view = views.computeIfAbsent(front.number(), n -> {
            View fresh = new View();
            fresh.boxes.putAll(truth);
            return fresh;
        });
        view.life = front.life();
        view.polls = false;
        view.news.clear();
        if (view.kept != null) {
            front.core().updateCatalogue(titles);
            front.core().updateServers(ListKind.KEPT, view.kept);
        }
        world.after(WAY_MS, () -> {
            if (front.up() && view.life == front.life()) {
                List<Server> whole = new ArrayList<>(view.boxes.values());
                view.news.clear();
                tell(front, view, ListKind.WHOLE, whole);
            }
        });
    }

    private void tell(Front front, View view, ListKind kind, List<Server> servers) {
        view.polls = false;
        for (Server server : servers) {
            world.tap()
                    .record(new TraceEvent.BoxStateSent(
                            world.now(),
                            front.number(),
                            server.id(),
                            server.state().name().toLowerCase(java.util.Locale.ROOT),
                            Double.isNaN(server.startedAt()) ? 0 : server.startedAt()));
        }
        front.runAfter(WAY_MS, () -> {
            if (kind == ListKind.WHOLE) {
                view.kept = servers;
                front.core().updateCatalogue(titles);
            }
            front.core().updateServers(kind, servers);
            front.runAfter(WAY_MS, () -> poll(front, view));
        });
    }

    private void poll(Front front, View view) {
        view.polls = true;
        if (!view.news.isEmpty()) {
            List<Server> news = new ArrayList<>(view.news);
            view.news.clear();
            tell(front, view, ListKind.CHANGES, news);
        }
    }

    /** A box changed; each front hears it so much later, drawn from the range. */
    void change(Box box, ServerState state, List<Double> lateMs) {
        Server server = entry(box, state);
        truth.put(server.id(), server);
        views.forEach(
                (number, view) -> world.after(RandomStreams.uniform(random, lateMs), () -> hear(number, view, server)));
    }

    private void hear(int number, View view, Server server) {
        Server old = view.boxes.get(server.id());
        if (old != null && !Double.isNaN(old.startedAt()) && !(server.startedAt() >= old.startedAt())) {
            // A later start was heard first: the old process's end is no news.
            return;
        }
        view.boxes.put(server.id(), server);
        Front front = world.fronts().get(number);
        if (front.up() && view.life == front.life()) {
            view.news.add(server);
            if (view.polls) {
                poll(front, view);
            }
        }
    }
}
