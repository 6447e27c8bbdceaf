package spanrill.soak;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import spanrill.wire.platform.Cause;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/** All usual clients of a trial: they ask, retry, give up, end their sessions and come again. */
final class ClientPopulation implements ClientConnection.Listener {
    /** New connections come to a node for so long after SIGTERM, ms. */
    private static final double NEW_CONNECTIONS_MS = 300;
    /** A set-up that crosses the end of its connection within this time is sent again once, ms. */
    static final double CROSSING_MS = 50;
    /** Clients close a connection without a session after this, ms. */
    private static final double IDLE_MS = 4000;

    private static final double REPEAT_AFTER_MS = 10;
    private static final double MOST_GIVE_UP_MS = 120;
    private static final double MOST_BACKOFF_MS = 40;
    private static final double SESSION_MOST_MS = 2000;
    private static final double ENDED_BY_CLIENT = 0.5;
    private static final int MOST_TRIES = 3;
    private static final int TITLES = 40;

    private final Trial trial;
    private final List<NodeProcess> nodes;
    private final EventLoop loop;
    private final EventLog log;
    private final SplittableRandom random;
    private final Timers timers;
    private final List<ClientConnection> connections = new ArrayList<>();
    private final Map<Long, ClientRequest> standing = new HashMap<>();
    private boolean asking;
    private int numbers;
    private long ids;

    ClientPopulation(
            Trial trial,
            List<NodeProcess> nodes,
            EventLoop loop,
            EventLog log,
            SplittableRandom random,
            Timers timers) {
        this.trial = trial;
        this.nodes = nodes;
        this.loop = loop;
        this.log = log;
        this.random = random;
        this.timers = timers;
        ids = trial.seed() << 32;
    }

    void start() {
        asking = true;
        next();
        timers.every(500, this::closeIdle);
    }

    void stop() {
        asking = false;
    }

    private void next() {
        double gapMs = -Math.log(1 - random.nextDouble()) * 1000 / trial.requestsPerSecond();
        timers.after(gapMs, () -> {
            if (asking) {
                ask(0);
                next();
            }
        });
    }

    private void closeIdle() {
        for (ClientConnection connection : List.copyOf(connections)) {
            boolean sessions = standing.values().stream().anyMatch(r -> r.on() == connection);
            if (connection.idle() && !sessions && log.now() - connection.usedAt() >= IDLE_MS) {
                connection.close();
                connections.remove(connection);
            }
        }
    }

    private void ask(int tries) {
        Trial.ClassPlan plan =
                trial.classes().get(random.nextInt(trial.classes().size()));
        boolean littleTime = random.nextDouble() < trial.clients().littleTime();
        double waitMs = plan.deadlineMs() * (littleTime ? random.nextDouble(0.005, 0.05) : random.nextDouble(0.5, 1));
        ask(new ClientRequest(++ids, plan, random.nextInt(TITLES), random.nextInt(2), tries, waitMs));
    }

    private void ask(ClientRequest request) {
        List<NodeProcess> order = new ArrayList<>(nodes);
        java.util.Collections.shuffle(order, new java.util.Random(random.nextLong()));
        for (NodeProcess node : order) {
            ClientConnection connection = connectionTo(node);
            if (connection != null) {
                send(request, connection);
                return;
            }
        }
    }

    /** A connection to the node that a request may use, or null: it goes elsewhere. */
    private ClientConnection connectionTo(NodeProcess node) {
        boolean ready = node.phase() == NodeProcess.Phase.READY;
        boolean stopping = node.phase() == NodeProcess.Phase.STOPPING;
        if (!ready && !stopping) {
            return null;
        }
        boolean mayOpen = ready || log.now() - node.changedAt() < NEW_CONNECTIONS_MS;
        if (mayOpen && random.nextDouble() < trial.clients().newConnection()) {
            return open(node, true);
        }
        List<ClientConnection> shared = connections.stream()
                .filter(c -> c.node() == node && !c.single() && c.usable())
                .toList();
        if (mayOpen && shared.size() < trial.connectionsPerNode()) {
            return open(node, false);
        }
        return shared.isEmpty() ? null : shared.get(random.nextInt(shared.size()));
    }

    private ClientConnection open(NodeProcess node, boolean single) {
        ClientConnection connection = new ClientConnection(node, ++numbers, single, this, log, random.split());
        connections.add(connection);
        Sockets.connect(loop, node.address(), connection).addListener(f -> {
            if (!f.isSuccess()) {
                log.add(EventKind.CLIENT_TURNED_AWAY, node.index(), "", 0, connection.number(), 0);
                connection.refused();
            }
        });
        return connection;
    }

    private void send(ClientRequest request, ClientConnection connection) {
        Trial.ClientHabits habits = trial.clients();
        boolean inPieces = random.nextDouble() < habits.inPieces();
        connection.ask(request, inPieces, written -> {
            if (written) {
                sent(request, connection);
            }
        });
    }

    private void sent(ClientRequest request, ClientConnection connection) {
        if (connection.request(request.id()) != request) {
            return;
        }
        request.sentAt(log.now());
        log.add(
                EventKind.CLIENT_SENT,
                connection.node().index(),
                request.plan().name(),
                request.id(),
                connection.number(),
                (int) Math.round(request.waitMs()));
        Trial.ClientHabits habits = trial.clients();
        if (random.nextDouble() < habits.repeatsId()) {
            timers.after(REPEAT_AFTER_MS, () -> repeat(request, connection));
        }
        double leaves = random.nextDouble();
        if (leaves < habits.givesUp()) {
            timers.after(random.nextDouble(0, MOST_GIVE_UP_MS), () -> giveUp(request, connection));
        } else if (leaves < habits.givesUp() + habits.closes()) {
            timers.after(random.nextDouble(0, MOST_GIVE_UP_MS), () -> closeUnder(request, connection));
        }
    }

    private void repeat(ClientRequest request, ClientConnection connection) {
        if (connection.usable() && connection.request(request.id()) == request) {
            log.add(EventKind.CLIENT_REPEATED, connection.node().index(), "", request.id(), connection.number(), 0);
            connection.send(request.setUp());
        }
    }

    private void giveUp(ClientRequest request, ClientConnection connection) {
        if (connection.request(request.id()) == request) {
            log.add(
                    EventKind.CLIENT_CANCELLED,
                    connection.node().index(),
                    request.plan().name(),
                    request.id(),
                    connection.number(),
                    0);
            connection.done(request);
            connection.send(new Message(MessageType.RELEASE, request.id()).withCause(Cause.NORMAL_CLEARING));
        }
    }

    private void closeUnder(ClientRequest request, ClientConnection connection) {
        if (connection.request(request.id()) == request) {
            connections.remove(connection);
            connection.close();
        }
    }

    // ---- what comes back

    @Override
    public void heard(ClientConnection on, Message message) {
        int node = on.node().index();
        switch (message.type()) {
            case ANSWER -> answered(on, message);
            case RELEASE -> {
                log.add(EventKind.CLIENT_RELEASED, node, "", message.session(), on.number(), message.cause());
                standing.remove(message.session());
                if (random.nextDouble() < trial.clients().acknowledges()) {
                    on.send(new Message(MessageType.RELEASE_ACKNOWLEDGED, message.session()));
                }
                ClientRequest request = on.request(message.session());
                if (request != null) {
                    on.done(request);
                    closeSingle(on);
                    comeAgain(request, message.cause());
                }
            }
            case MOVE -> {
                log.add(EventKind.CLIENT_MOVED, node, "", message.session(), on.number(), 0);
                standing.remove(message.session());
                ask(1);
            }
            default -> {}
        }
    }

    private void answered(ClientConnection on, Message message) {
        byte[] description = message.get(Parameter.DESCRIPTION);
        String text = description == null ? "" : new String(description, StandardCharsets.UTF_8);
        int slash = text.indexOf('/');
        boolean own = slash > 0 && text.substring(slash + 1).equals(Long.toString(message.session()));
        String server = own ? text.substring(0, slash) : "";
        log.add(EventKind.CLIENT_ANSWERED, on.node().index(), server, message.session(), on.number(), own ? 0 : 1);
        ClientRequest request = on.request(message.session());
        if (request == null) {
            return;
        }
        on.done(request);
        request.server(server);
        standing.put(request.id(), request);
        if (random.nextDouble() < ENDED_BY_CLIENT) {
            timers.after(random.nextDouble(0, SESSION_MOST_MS), () -> endSession(request));
        }
    }

    private void closeSingle(ClientConnection on) {
        if (on.single() && on.idle()) {
            connections.remove(on);
            on.close();
        }
    }

    private void comeAgain(ClientRequest request, int cause) {
        boolean harmless = cause == Cause.NO_CIRCUIT || cause == Cause.CONGESTION || cause == Cause.TIMER_EXPIRY;
        boolean may = harmless || !request.plan().once();
        if (asking
                && may
                && request.tries() < MOST_TRIES
                && random.nextDouble() < trial.clients().retriesAtOnce()) {
            timers.after(random.nextDouble(0, MOST_BACKOFF_MS), () -> ask(request.tries() + 1));
        }
    }

    private void endSession(ClientRequest session) {
        NodeProcess node = session.on().node();
        if (standing.get(session.id()) != session || node.phase() != NodeProcess.Phase.READY) {
            return;
        }
        ClientConnection on = session.on().usable()
                ? session.on()
                : connections.stream()
                        .filter(c -> c.node() == node && c.usable() && !c.single())
                        .findFirst()
                        .orElse(null);
        if (on != null) {
            standing.remove(session.id());
            log.add(EventKind.CLIENT_CANCELLED, node.index(), session.server(), session.id(), on.number(), 1);
            on.send(new Message(MessageType.RELEASE, session.id()).withCause(Cause.NORMAL_CLEARING));
        }
    }

    @Override
    public void ended(ClientConnection connection, List<ClientRequest> open) {
        connections.remove(connection);
        for (ClientRequest request : open) {
            boolean unsent = Double.isNaN(request.sentAt());
            boolean crossed = log.now() - request.sentAt() <= CROSSING_MS;
            if ((unsent || crossed) && !request.sentAgain() && asking) {
                request.sendAgain();
                ask(request);
            }
        }
    }

    /** A node is ready: a new process is told of the sessions that stand from the one before. */
    void ready(NodeProcess node) {
        List<ClientRequest> handedOver = standing.values().stream()
                .filter(session -> session.on().node() == node)
                .toList();
        if (handedOver.isEmpty()) {
            return;
        }
        ClientConnection connection = open(node, false);
        for (ClientRequest session : handedOver) {
            session.on(connection);
            connection.write(to -> to.write(
                    session.handOver(),
                    false,
                    f -> log.add(
                            EventKind.CLIENT_HANDED_OVER,
                            node.index(),
                            session.server(),
                            session.id(),
                            connection.number(),
                            0)));
        }
    }
}
