package spanrill.standin.box;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import spanrill.SessionControl.Load;
import spanrill.check.EventRecorder;
import spanrill.check.TraceEvent;
import spanrill.day.Day;
import spanrill.model.RandomStreams;
import spanrill.model.box.BoxParameters;
import spanrill.model.box.BoxProcess;
import spanrill.model.link.LinkNetwork;
import spanrill.standin.LoopbackServer;
import spanrill.wire.box.BoxLink;
import spanrill.wire.http.Exchange;
import spanrill.wire.http.Headers;

/** One replay box. Its process may die and restart on the same port. Confined to the event loop of its fleet. */
public final class StandinBox {
    private static final double REJECTING_LINK_USE = 1.2;
    private static final double SESSION_IDLE_MS = 12_000;

    private final String id;
    private final String zone;
    private final int cell;
    private final int rack;
    private final double linkKilobytesPerS;
    private final LinkNetwork network;
    private final Day day;
    private final EventLoop loop;
    private final EventRecorder recorder;
    private final UniformRandomProvider random;
    private final Impairments impairments = new Impairments();
    private final Map<String, BoxSession> sessions = new LinkedHashMap<>();
    private final BoxParameters parameters;
    private final MediaSender mediaSender;
    private final LoadReporter loadReporter;
    private final NoteStreams noteStreams;
    private final Set<Channel> connections = new LinkedHashSet<>();
    private final List<Runnable> deferred = new ArrayList<>();
    private Channel server;
    private int port;
    private long processStartMs;
    private double modelStartMs = Double.NEGATIVE_INFINITY;
    private BoxProcess processModel;
    private long spendingSetUps;

    StandinBox(
            String id,
            String zone,
            int cell,
            int rack,
            double linkKilobytesPerS,
            LinkNetwork network,
            Day day,
            EventLoop loop,
            EventRecorder recorder,
            long seed,
            LinkModelTimer linkModelTimer) {
        this.id = id;
        this.zone = zone;
        this.cell = cell;
        this.linkKilobytesPerS = linkKilobytesPerS;
        this.rack = rack;
        this.network = network;
        this.day = day;
        this.loop = loop;
        this.recorder = recorder;
        random = RandomStreams.of(seed, id);
        noteStreams = new NoteStreams(loop);
        Day.Boxes settings = day.boxes();
        parameters = new BoxParameters(
                settings.places(),
                settings.setUpMs(),
                settings.coldMs(),
                settings.coldShare(),
                day.rules().fallMultiple(),
                day.rules().fallMs(),
                REJECTING_LINK_USE);
        mediaSender = new MediaSender(day, network, cell, impairments, linkModelTimer);
        loadReporter = new LoadReporter(day, network, cell, rack, noteStreams, impairments);
    }

    /** Returns the name of the box. */
    public String id() {
        return id;
    }

    /** Returns the hall of the box. */
    public String zone() {
        return zone;
    }

    /** Returns the number of the cell. Each box is a cell of its own: the number is its index in the fleet. */
    public int cell() {
        return cell;
    }

    /** Returns the number of the rack. */
    public int rack() {
        return rack;
    }

    /** Returns the port of the box, 0 before its first start. */
    public int port() {
        return port;
    }

    /** Returns the impairments that troubles impose on the box. */
    public Impairments impairments() {
        return impairments;
    }

    /** Returns the capacity of the link without troubles, in kB a second. */
    public double linkKilobytesPerS() {
        return linkKilobytesPerS;
    }

    /** Returns the start time of the process in ms since 1970, or 0 for a process that was started warm. */
    public double processStartMs() {
        return Double.isInfinite(modelStartMs) ? 0 : processStartMs;
    }

    /** Returns true while the process runs and listens. */
    public boolean isRunning() {
        return server != null;
    }

    Collection<BoxSession> sessions() {
        return sessions.values();
    }

    /** Returns the number of sessions that the box plays. */
    public int activeSessions() {
        return sessions.size();
    }

    /** Returns the number of set-ups that spent a token. */
    public long spendingSetUps() {
        return spendingSetUps;
    }

    /** Starts the process, cold or warm. Must be called on the loop; the port is bound asynchronously. */
    public void start(boolean cold) {
        processStartMs = System.currentTimeMillis();
        modelStartMs = cold ? recorder.nowMs() : Double.NEGATIVE_INFINITY;
        processModel = new BoxProcess(parameters, modelStartMs, random);
        impairments.unresponsive = false;
        long expectedStartMs = processStartMs;
        LoopbackServer.bind(loop, port, connections::add, this::route).addListener(future -> {
            if (!future.isSuccess()) {
                if (processStartMs == expectedStartMs) {
                    // The system has not released the port of the previous process yet.
                    loop.schedule(() -> start(cold), 20, TimeUnit.MILLISECONDS);
                }
                return;
            }
            server = ((io.netty.channel.ChannelFuture) future).channel();
            port = LoopbackServer.port(server);
            recorder.record(new TraceEvent.BoxStarted(recorder.nowMs(), id, cold));
        });
    }

    /** Terminates the process: all connections are reset and all sessions end. */
    public void terminate(String reason) {
        if (server == null) {
            return;
        }
        recorder.record(new TraceEvent.BoxStopped(recorder.nowMs(), id, reason));
        server.close();
        server = null;
        for (Channel connection : connections) {
            // Without lingering the peer sees a reset, as when a process is killed.
            try {
                connection.config().setOption(ChannelOption.SO_LINGER, 0);
            } catch (ChannelException e) {
                // The peer has just closed the connection: nothing is left to reset.
                continue;
            }
            connection.close();
        }
        connections.clear();
        sessions.values().forEach(session -> mediaSender.removeSession(recorder.nowMs(), session));
        sessions.clear();
        mediaSender.clear();
        noteStreams.clear();
        deferred.clear();
    }

    /** Drains the box: its sessions play on, new set-ups are rejected. */
    public void drain() {
        processModel.drain();
    }

    /** Makes the box unresponsive, or responsive again: it then handles the requests that were deferred. */
    public void setUnresponsive(boolean unavailable) {
        impairments.unresponsive = unavailable;
        recorder.record(new TraceEvent.BoxMuted(recorder.nowMs(), id, unavailable, null));
        if (!unavailable) {
            runDeferred();
        }
    }

    /** Makes the box unreachable or reachable for fronts of a hall. */
    public void setUnreachableFrom(String frontZone, boolean unavailable) {
        if (impairments.unreachableFrom.contains(frontZone) == unavailable) {
            return;
        }
        impairments.setUnreachableFrom(frontZone, unavailable);
        recorder.record(new TraceEvent.BoxMuted(recorder.nowMs(), id, unavailable, frontZone));
        if (!unavailable) {
            runDeferred();
        }
    }

    private void runDeferred() {
        List<Runnable> due = new ArrayList<>(deferred);
        deferred.clear();
        due.forEach(Runnable::run);
    }

    // ---- requests

    private void route(Exchange exchange) {
        String frontZone = exchange.head().headers().get(BoxLink.ZONE);
        if (impairments.isUnreachableFrom(frontZone == null ? "" : frontZone)) {
            // The request is deferred as if unread. A peer that closes the connection before then was never received.
            deferred.add(() -> {
                if (!exchange.isEnded()) {
                    route(exchange);
                }
            });
            return;
        }
        String path = exchange.head().path();
        String method = exchange.head().method();
        if (path.equals(BoxLink.SETUP_PATH) && method.equals("POST")) {
            handleSetUp(exchange);
        } else if (path.equals(BoxLink.NOTES_PATH)) {
            noteStreams.open(exchange, processStartMs);
        } else if (path.startsWith(BoxLink.ATTEMPT_PATH_PREFIX)) {
            handleAttemptRequest(exchange, method, path.substring(BoxLink.ATTEMPT_PATH_PREFIX.length()));
        } else {
            exchange.respond(404, new Headers(), new byte[0]);
        }
    }

    private void handleSetUp(Exchange exchange) {
        Headers requestHeaders = exchange.head().headers();
        String key = requestHeaders.get(BoxLink.ATTEMPT_KEY);
        Day.DayClass serviceClass = day.classes().get(String.valueOf(requestHeaders.get(BoxLink.CLASS)));
        int front;
        int rung;
        try {
            front = Integer.parseInt(String.valueOf(requestHeaders.get(BoxLink.FRONT)));
            rung = Integer.parseInt(String.valueOf(requestHeaders.get(BoxLink.RUNG)));
        } catch (NumberFormatException e) {
            exchange.respond(400, new Headers(), new byte[0]);
            return;
        }
        if (key == null
                || serviceClass == null
                || rung < 0
                || rung >= day.ladder().kb().size()) {
            exchange.respond(400, new Headers(), new byte[0]);
            return;
        }
        double now = recorder.nowMs();
        boolean spendsToken = "1".equals(requestHeaders.get(BoxLink.SPENDS));
        recorder.record(new TraceEvent.SetUp(
                now,
                id,
                front,
                requestHeaders.get(BoxLink.TOKEN),
                key,
                requestHeaders.get(BoxLink.CLASS),
                requestHeaders.get(BoxLink.TITLE),
                rung,
                spendsToken,
                requestHeaders.get(BoxLink.CONTINUES)));
        BoxProcess.SetUpDecision reply =
                processModel.setUp(now, key, network.linkUtilization(cell), impairments.setUpSlowdown);
        if (reply instanceof BoxProcess.SetUpDecision.Crashes) {
            terminate("pushed over");
        } else if (reply instanceof BoxProcess.SetUpDecision.AlreadyKnown) {
            answerSetUp(exchange, key, 409, null);
        } else if (reply instanceof BoxProcess.SetUpDecision.Rejected away) {
            answerSetUp(exchange, key, 503, away.reason());
        } else if (reply instanceof BoxProcess.SetUpDecision.Accepted works) {
            BoxProcess owner = processModel;
            exchange.onClosed(() -> {
                recorder.record(new TraceEvent.AttemptEnded(recorder.nowMs(), key, "called off"));
                owner.onConnectionLost(key);
            });
            BoxSession session = new BoxSession(
                    key,
                    requestHeaders.get(BoxLink.TOKEN),
                    requestHeaders.get(BoxLink.CLASS),
                    front,
                    String.valueOf(requestHeaders.get(BoxLink.ZONE)),
                    requestHeaders.get(BoxLink.TITLE),
                    serviceClass.scale(),
                    serviceClass.floor(),
                    rung,
                    now);
            loop.schedule(
                    () -> finishSetUp(exchange, session, owner, spendsToken),
                    (long) works.workMs(),
                    TimeUnit.MILLISECONDS);
        }
    }

    private void finishSetUp(Exchange exchange, BoxSession session, BoxProcess owner, boolean spendsToken) {
        if (owner != processModel || server == null) {
            return;
        }
        if (impairments.isUnreachableFrom(session.zone)) {
            deferred.add(() -> finishSetUp(exchange, session, owner, spendsToken));
            return;
        }
        if (!processModel.finishSetUp(session.key)) {
            return;
        }
        double now = recorder.nowMs();
        mediaSender.addSession(now, session);
        sessions.put(session.key, session);
        session.process = processModel;
        session.lastRequestAt = now;
        spendingSetUps += spendsToken ? 1 : 0;
        recorder.record(new TraceEvent.AttemptStarted(now, session.key));
        exchange.onClosed(() -> {});
        if (random.nextDouble() < impairments.lostAnswerShare) {
            exchange.channel().close();
            return;
        }
        recorder.record(new TraceEvent.SetUpAnswer(now, session.key, 200, null));
        Headers headers = Headers.of(BoxLink.LOAD, BoxLink.formatLoad(load()), "content-type", "video/mp4");
        exchange.start(200, headers, MediaBytes.INIT_BYTES);
        exchange.write(MediaBytes.slice(session.title, 0, MediaBytes.INIT_BYTES));
        exchange.end();
        loadReporter.reportSessionStart(session);
    }

    private void answerSetUp(Exchange exchange, String key, int status, String reason) {
        recorder.record(new TraceEvent.SetUpAnswer(recorder.nowMs(), key, status, reason));
        Headers headers = Headers.of(BoxLink.LOAD, BoxLink.formatLoad(load()));
        if (reason != null) {
            headers.add(BoxLink.REASON, reason);
        }
        exchange.respond(status, headers, new byte[0]);
    }

    private Load load() {
        return loadReporter.load(processModel.inflight());
    }

    private void handleAttemptRequest(Exchange exchange, String method, String rest) {
        int slash = rest.indexOf('/');
        String key = slash < 0 ? rest : rest.substring(0, slash);
        String name = slash < 0 ? "" : rest.substring(slash + 1);
        if (method.equals("DELETE")) {
            boolean ran = processModel.cancel(key);
            endSession(key, "released");
            recorder.record(new TraceEvent.CancelAnswer(recorder.nowMs(), key, ran));
            exchange.respond(
                    204,
                    Headers.of(
                            BoxLink.LOAD,
                            BoxLink.formatLoad(load()),
                            BoxLink.RAN,
                            ran ? "1" : "0",
                            BoxLink.UPTIME_MS,
                            Long.toString(System.currentTimeMillis() - processStartMs)),
                    new byte[0]);
            return;
        }
        BoxSession session = sessions.get(key);
        if (session == null) {
            // A request to change the rung may arrive before the set-up has finished; the session does not
            // exist yet, so the front gets 404.
            exchange.respond(404, new Headers(), new byte[0]);
            return;
        }
        if (name.equals("rung") && method.equals("POST")) {
            String to = exchange.head().queryParameter("to");
            if (to == null
                    || !to.matches("\\d{1,3}")
                    || Integer.parseInt(to) >= day.ladder().kb().size()) {
                exchange.respond(400, new Headers(), new byte[0]);
                return;
            }
            mediaSender.changeRung(recorder.nowMs(), session, Integer.parseInt(to));
            recorder.record(new TraceEvent.RungChanged(recorder.nowMs(), key, session.rung));
            exchange.respond(204, Headers.of(BoxLink.LOAD, BoxLink.formatLoad(load())), new byte[0]);
        } else {
            session.lastRequestAt = recorder.nowMs();
            mediaSender.startSegment(exchange, session, name);
        }
    }

    private void endSession(String key, String reason) {
        BoxSession session = sessions.remove(key);
        if (session != null) {
            mediaSender.removeSession(recorder.nowMs(), session);
        }
        recorder.record(new TraceEvent.AttemptEnded(recorder.nowMs(), key, reason));
    }

    /** Reports to the fronts which share of the requested media rate the box delivers. Called each second. */
    void reportDeliveredShare() {
        loadReporter.reportDeliveredShare(sessions.values(), this::isHostingProcessRunning);
    }

    /** Reports the use of link and uplink to the fronts. Called at the day's report interval. */
    void reportLinkUse() {
        loadReporter.reportLinkUse(sessions.values(), this::isHostingProcessRunning);
    }

    /** Returns true while the box process that set up the session runs, whether or not the session still plays. */
    private boolean isHostingProcessRunning(BoxSession session) {
        return session.process == processModel && server != null;
    }

    /** Sends the bytes that the model granted in the last {@code elapsedMs}. */
    void sendGrantedBytes(double now, double elapsedMs) {
        mediaSender.sendGrantedBytes(now, elapsedMs, sessions.values());
    }

    /** Ends sessions without a segment request for the idle limit, and drops closed connections and note streams. */
    void endIdleSessions(double now) {
        List<BoxSession> due = new ArrayList<>();
        for (BoxSession session : sessions.values()) {
            if (now - session.lastRequestAt > SESSION_IDLE_MS) {
                due.add(session);
            }
        }
        for (BoxSession session : due) {
            processModel.onSessionEnded(session.key);
            endSession(session.key, "idle");
            loadReporter.reportSessionEnd(session);
        }
        connections.removeIf(channel -> !channel.isActive());
        noteStreams.removeEnded();
    }
}
