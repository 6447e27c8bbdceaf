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

/** The regular clients of a trial. They send requests, retry, cancel, end sessions and reconnect. */
final class ClientPopulation implements ClientConnection.Listener {
    /** Time after SIGTERM for which clients still open new connections to a node, ms. */
    private static final double CONNECT_AFTER_TERM_MS = 300;
    /**
     * Maximum time between writing a set-up and the end of its connection for which the two count as simultaneous, ms.
     * The client then sends the set-up once more on another connection.
     */
    static final double CROSSING_MS = 50;
    /** Time after which clients close an unused connection without sessions, ms. */
    private static final double CONNECTION_IDLE_MS = 4000;

    private static final double DUPLICATE_DELAY_MS = 10;
    private static final double MAX_CANCEL_DELAY_MS = 120;
    private static final double MAX_RETRY_DELAY_MS = 40;
    private static final double MAX_SESSION_MS = 2000;
    private static final double SESSION_ENDED_BY_CLIENT_SHARE = 0.5;
    private static final int MAX_RETRIES = 3;
    private static final int TITLE_COUNT = 40;

    private final Trial trial;
    private final List<NodeProcess> nodes;
    private final EventLoop loop;
    private final EventLog log;
    private final SplittableRandom random;
    private final Timers timers;
    private final List<ClientConnection> connections = new ArrayList<>();
    private final Map<Long, ClientRequest> sessions = new HashMap<>();
    private boolean sending;
    private int connectionCount;
    private long lastRequestId;

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
        lastRequestId = trial.seed() << 32;
    }

    void start() {
        sending = true;
        scheduleNextRequest();
        timers.scheduleRepeating(500, this::closeIdle);
    }

    void stop() {
        sending = false;
    }

    private void scheduleNextRequest() {
        double gapMs = -Math.log(1 - random.nextDouble()) * 1000 / trial.requestsPerSecond();
        timers.schedule(gapMs, () -> {
            if (sending) {
                startRequest(0);
                scheduleNextRequest();
            }
        });
    }

    private void closeIdle() {
        for (ClientConnection connection : List.copyOf(connections)) {
            boolean hasSession = sessions.values().stream().anyMatch(r -> r.connection() == connection);
            if (connection.isIdle()
                    && !hasSession
                    && log.elapsedMs() - connection.lastUsedAtMs() >= CONNECTION_IDLE_MS) {
                connection.close();
                connections.remove(connection);
            }
        }
    }

    private void startRequest(int retries) {
        Trial.ClassPlan serviceClass =
                trial.classes().get(random.nextInt(trial.classes().size()));
        boolean shortDeadline = random.nextDouble() < trial.clients().littleTime();
        double waitMs = serviceClass.deadlineMs()
                * (shortDeadline ? random.nextDouble(0.005, 0.05) : random.nextDouble(0.5, 1));
        dispatch(new ClientRequest(
                ++lastRequestId, serviceClass, random.nextInt(TITLE_COUNT), random.nextInt(2), retries, waitMs));
    }

    private void dispatch(ClientRequest request) {
        List<NodeProcess> candidates = new ArrayList<>(nodes);
        java.util.Collections.shuffle(candidates, new java.util.Random(random.nextLong()));
        for (NodeProcess node : candidates) {
            ClientConnection connection = connectionFor(node);
            if (connection != null) {
                send(request, connection);
                return;
            }
        }
    }

    /** Returns a connection to the node that a request may use, or null if the request must use another node. */
    private ClientConnection connectionFor(NodeProcess node) {
        boolean isReady = node.phase() == NodeProcess.Phase.READY;
        boolean isStopping = node.phase() == NodeProcess.Phase.STOPPING;
        if (!isReady && !isStopping) {
            return null;
        }
        boolean mayConnect = isReady || log.elapsedMs() - node.phaseSinceMs() < CONNECT_AFTER_TERM_MS;
        if (mayConnect && random.nextDouble() < trial.clients().newConnection()) {
            return open(node, true);
        }
        List<ClientConnection> shared = connections.stream()
                .filter(c -> c.node() == node && !c.dedicated() && c.isUsable())
                .toList();
        if (mayConnect && shared.size() < trial.connectionsPerNode()) {
            return open(node, false);
        }
        return shared.isEmpty() ? null : shared.get(random.nextInt(shared.size()));
    }

    private ClientConnection open(NodeProcess node, boolean dedicated) {
        ClientConnection connection =
                new ClientConnection(node, ++connectionCount, dedicated, this, log, random.split());
        connections.add(connection);
        Sockets.connect(loop, node.address(), connection).addListener(f -> {
            if (!f.isSuccess()) {
                log.add(EventKind.CLIENT_TURNED_AWAY, node.index(), "", 0, connection.number(), 0);
                connection.connectFailed();
            }
        });
        return connection;
    }

    private void send(ClientRequest request, ClientConnection connection) {
        Trial.ClientHabits habits = trial.clients();
        boolean fragment = random.nextDouble() < habits.inPieces();
        connection.sendRequest(request, fragment, success -> {
            if (success) {
                onSent(request, connection);
            }
        });
    }

    private void onSent(ClientRequest request, ClientConnection connection) {
        if (connection.request(request.id()) != request) {
            return;
        }
        request.setSentAtMs(log.elapsedMs());
        log.add(
                EventKind.CLIENT_SENT,
                connection.node().index(),
                request.serviceClass().name(),
                request.id(),
                connection.number(),
                (int) Math.round(request.waitMs()));
        Trial.ClientHabits habits = trial.clients();
        if (random.nextDouble() < habits.repeatsId()) {
            timers.schedule(DUPLICATE_DELAY_MS, () -> resendSetUp(request, connection));
        }
        double cancelDraw = random.nextDouble();
        if (cancelDraw < habits.givesUp()) {
            timers.schedule(random.nextDouble(0, MAX_CANCEL_DELAY_MS), () -> cancel(request, connection));
        } else if (cancelDraw < habits.givesUp() + habits.closes()) {
            timers.schedule(random.nextDouble(0, MAX_CANCEL_DELAY_MS), () -> closeConnectionOf(request, connection));
        }
    }

    private void resendSetUp(ClientRequest request, ClientConnection connection) {
        if (connection.isUsable() && connection.request(request.id()) == request) {
            log.add(EventKind.CLIENT_REPEATED, connection.node().index(), "", request.id(), connection.number(), 0);
            connection.send(request.setUpMessage());
        }
    }

    private void cancel(ClientRequest request, ClientConnection connection) {
        if (connection.request(request.id()) == request) {
            log.add(
                    EventKind.CLIENT_CANCELLED,
                    connection.node().index(),
                    request.serviceClass().name(),
                    request.id(),
                    connection.number(),
                    0);
            connection.complete(request);
            connection.send(new Message(MessageType.RELEASE, request.id()).withCause(Cause.NORMAL_CLEARING));
        }
    }

    private void closeConnectionOf(ClientRequest request, ClientConnection connection) {
        if (connection.request(request.id()) == request) {
            connections.remove(connection);
            connection.close();
        }
    }

    // ---- messages from nodes

    @Override
    public void onMessage(ClientConnection connection, Message message) {
        int node = connection.node().index();
        switch (message.type()) {
            case ANSWER -> onAnswer(connection, message);
            case RELEASE -> {
                log.add(EventKind.CLIENT_RELEASED, node, "", message.session(), connection.number(), message.cause());
                sessions.remove(message.session());
                if (random.nextDouble() < trial.clients().acknowledges()) {
                    connection.send(new Message(MessageType.RELEASE_ACKNOWLEDGED, message.session()));
                }
                ClientRequest request = connection.request(message.session());
                if (request != null) {
                    connection.complete(request);
                    closeDedicated(connection);
                    retryIfAllowed(request, message.cause());
                }
            }
            case MOVE -> {
                log.add(EventKind.CLIENT_MOVED, node, "", message.session(), connection.number(), 0);
                sessions.remove(message.session());
                startRequest(1);
            }
            default -> {}
        }
    }

    private void onAnswer(ClientConnection connection, Message message) {
        byte[] description = message.get(Parameter.DESCRIPTION);
        String text = description == null ? "" : new String(description, StandardCharsets.UTF_8);
        int slash = text.indexOf('/');
        boolean matchesSession = slash > 0 && text.substring(slash + 1).equals(Long.toString(message.session()));
        String server = matchesSession ? text.substring(0, slash) : "";
        log.add(
                EventKind.CLIENT_ANSWERED,
                connection.node().index(),
                server,
                message.session(),
                connection.number(),
                matchesSession ? 0 : 1);
        ClientRequest request = connection.request(message.session());
        if (request == null) {
            return;
        }
        connection.complete(request);
        request.setServer(server);
        sessions.put(request.id(), request);
        if (random.nextDouble() < SESSION_ENDED_BY_CLIENT_SHARE) {
            timers.schedule(random.nextDouble(0, MAX_SESSION_MS), () -> endSession(request));
        }
    }

    private void closeDedicated(ClientConnection connection) {
        if (connection.dedicated() && connection.isIdle()) {
            connections.remove(connection);
            connection.close();
        }
    }

    private void retryIfAllowed(ClientRequest request, int cause) {
        boolean safeToRetry = cause == Cause.NO_CIRCUIT || cause == Cause.CONGESTION || cause == Cause.TIMER_EXPIRY;
        boolean allowed = safeToRetry || !request.serviceClass().once();
        if (sending
                && allowed
                && request.retries() < MAX_RETRIES
                && random.nextDouble() < trial.clients().retriesAtOnce()) {
            timers.schedule(random.nextDouble(0, MAX_RETRY_DELAY_MS), () -> startRequest(request.retries() + 1));
        }
    }

    private void endSession(ClientRequest session) {
        NodeProcess node = session.connection().node();
        if (sessions.get(session.id()) != session || node.phase() != NodeProcess.Phase.READY) {
            return;
        }
        ClientConnection connection = session.connection().isUsable()
                ? session.connection()
                : connections.stream()
                        .filter(c -> c.node() == node && c.isUsable() && !c.dedicated())
                        .findFirst()
                        .orElse(null);
        if (connection != null) {
            sessions.remove(session.id());
            log.add(EventKind.CLIENT_CANCELLED, node.index(), session.server(), session.id(), connection.number(), 1);
            connection.send(new Message(MessageType.RELEASE, session.id()).withCause(Cause.NORMAL_CLEARING));
        }
    }

    @Override
    public void onClosedByNode(ClientConnection connection, List<ClientRequest> open) {
        connections.remove(connection);
        for (ClientRequest request : open) {
            boolean unsent = Double.isNaN(request.sentAtMs());
            boolean closedSoonAfterSend = log.elapsedMs() - request.sentAtMs() <= CROSSING_MS;
            if ((unsent || closedSoonAfterSend) && !request.resent() && sending) {
                request.prepareResend();
                dispatch(request);
            }
        }
    }

    /** Hands the sessions of a node's previous process over to its new process, which has just become ready. */
    void onNodeReady(NodeProcess node) {
        List<ClientRequest> handedOver = sessions.values().stream()
                .filter(session -> session.connection().node() == node)
                .toList();
        if (handedOver.isEmpty()) {
            return;
        }
        ClientConnection connection = open(node, false);
        for (ClientRequest session : handedOver) {
            session.setConnection(connection);
            connection.write(writer -> writer.write(
                    session.handOverMessage(),
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
