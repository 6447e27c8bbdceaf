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

/** One replay box. Its process may die and start anew on the same port. On one loop with all of its fleet. */
public final class StandinBox {
    private static final double TURNED_AWAY_AT = 1.2;
    private static final double IDLE_MS = 12_000;

    private final String id;
    private final String zone;
    private final int cell;
    private final int rack;
    private final double linkKb;
    private final LinkNetwork network;
    private final Day day;
    private final EventLoop loop;
    private final EventRecorder tap;
    private final UniformRandomProvider random;
    private final Impairments condition = new Impairments();
    private final Map<String, BoxSession> sessions = new LinkedHashMap<>();
    private final BoxParameters rules;
    private final MediaSender shaper;
    private final LoadReporter teller;
    private final NoteStreams notes;
    private final Set<Channel> connections = new LinkedHashSet<>();
    private final List<Runnable> parked = new ArrayList<>();
    private Channel server;
    private int port;
    private long process;
    private double startedAt = Double.NEGATIVE_INFINITY;
    private BoxProcess life;
    private long spends;

    StandinBox(
            String id,
            String zone,
            int cell,
            int rack,
            double linkKb,
            LinkNetwork network,
            Day day,
            EventLoop loop,
            EventRecorder tap,
            long seed,
            LinkModelTimer modelTime) {
        this.id = id;
        this.zone = zone;
        this.cell = cell;
        this.linkKb = linkKb;
        this.rack = rack;
        this.network = network;
        this.day = day;
        this.loop = loop;
        this.tap = tap;
        random = RandomStreams.of(seed, id);
        notes = new NoteStreams(loop);
        Day.Boxes all = day.boxes();
        rules = new BoxParameters(
                all.places(),
                all.setUpMs(),
                all.coldMs(),
                all.coldShare(),
                day.rules().fallMultiple(),
                day.rules().fallMs(),
                TURNED_AWAY_AT);
        shaper = new MediaSender(day, network, cell, condition, modelTime);
        teller = new LoadReporter(day, network, cell, rack, notes, condition);
    }

    /** Its name. */
    public String id() {
        return id;
    }

    /** Its hall. */
    public String zone() {
        return zone;
    }

    /** Its cell. */
    public int cell() {
        return cell;
    }

    /** Number of its rack. */
    public int rack() {
        return rack;
    }

    /** Its port. */
    public int port() {
        return port;
    }

    /** What troubles do to it. */
    public Impairments impairments() {
        return condition;
    }

    /** Its link, kB a second, without troubles. */
    public double linkKilobytesPerS() {
        return linkKb;
    }

    /** Start of its process in ms since 1970; 0 when long ago. */
    public double processStartMs() {
        return Double.isInfinite(startedAt) ? 0 : process;
    }

    /** True while its process runs. */
    public boolean isRunning() {
        return server != null;
    }

    Collection<BoxSession> sessions() {
        return sessions.values();
    }

    /** Sessions that it plays. */
    public int activeSessions() {
        return sessions.size();
    }

    /** Set-ups that spent something. */
    public long spendingSetUps() {
        return spends;
    }

    /** Starts its process, cold or long warm. On the loop; listens a moment later. */
    public void start(boolean cold) {
        process = System.currentTimeMillis();
        startedAt = cold ? tap.nowMs() : Double.NEGATIVE_INFINITY;
        life = new BoxProcess(rules, startedAt, random);
        condition.mute = false;
        long started = process;
        LoopbackServer.bind(loop, port, connections::add, this::route).addListener(future -> {
            if (!future.isSuccess()) {
                if (process == started) {
                    // The port is still being given back.
                    loop.schedule(() -> start(cold), 20, TimeUnit.MILLISECONDS);
                }
                return;
            }
            server = ((io.netty.channel.ChannelFuture) future).channel();
            port = LoopbackServer.port(server);
            tap.record(new TraceEvent.BoxStarted(tap.nowMs(), id, cold));
        });
    }

    /** Its process dies: all connections are reset. */
    public void terminate(String why) {
        if (server == null) {
            return;
        }
        tap.record(new TraceEvent.BoxStopped(tap.nowMs(), id, why));
        server.close();
        server = null;
        for (Channel connection : connections) {
            // No lingering: the peer sees a reset, as when a process is killed.
            try {
                connection.config().setOption(ChannelOption.SO_LINGER, 0);
            } catch (ChannelException e) {
                // Its peer closed it a moment ago: there is nothing left to reset.
                continue;
            }
            connection.close();
        }
        connections.clear();
        sessions.values().forEach(session -> shaper.removeSession(tap.nowMs(), session));
        sessions.clear();
        shaper.clear();
        notes.clear();
        parked.clear();
    }

    /** It finishes what it has and takes nothing new. */
    public void drain() {
        life.drain();
    }

    /** It goes silent, or comes back to life with what waits in its sockets. */
    public void setUnresponsive(boolean on) {
        condition.mute = on;
        tap.record(new TraceEvent.BoxMuted(tap.nowMs(), id, on, null));
        if (!on) {
            unpark();
        }
    }

    /** A hall can't reach it, or can again. */
    public void setUnreachableFrom(String from, boolean on) {
        if (condition.cut.contains(from) == on) {
            return;
        }
        condition.setUnreachableFrom(from, on);
        tap.record(new TraceEvent.BoxMuted(tap.nowMs(), id, on, from));
        if (!on) {
            unpark();
        }
    }

    private void unpark() {
        List<Runnable> due = new ArrayList<>(parked);
        parked.clear();
        due.forEach(Runnable::run);
    }

    // ---- requests

    private void route(Exchange exchange) {
        String from = exchange.head().headers().get(BoxLink.ZONE);
        if (condition.isUnreachableFrom(from == null ? "" : from)) {
            // It stays unread: whoever gives up before it is read again was never heard.
            parked.add(() -> {
                if (!exchange.isEnded()) {
                    route(exchange);
                }
            });
            return;
        }
        String path = exchange.head().path();
        String method = exchange.head().method();
        if (path.equals(BoxLink.SETUP_PATH) && method.equals("POST")) {
            setUp(exchange);
        } else if (path.equals(BoxLink.NOTES_PATH)) {
            notes.open(exchange, process);
        } else if (path.startsWith(BoxLink.ATTEMPT_PATH_PREFIX)) {
            attempt(exchange, method, path.substring(BoxLink.ATTEMPT_PATH_PREFIX.length()));
        } else {
            exchange.respond(404, new Headers(), new byte[0]);
        }
    }

    private void setUp(Exchange exchange) {
        Headers h = exchange.head().headers();
        String key = h.get(BoxLink.ATTEMPT_KEY);
        Day.DayClass type = day.classes().get(String.valueOf(h.get(BoxLink.CLASS)));
        int front;
        int rung;
        try {
            front = Integer.parseInt(String.valueOf(h.get(BoxLink.FRONT)));
            rung = Integer.parseInt(String.valueOf(h.get(BoxLink.RUNG)));
        } catch (NumberFormatException e) {
            exchange.respond(400, new Headers(), new byte[0]);
            return;
        }
        if (key == null || type == null || rung < 0 || rung >= day.ladder().kb().size()) {
            exchange.respond(400, new Headers(), new byte[0]);
            return;
        }
        double now = tap.nowMs();
        boolean spend = "1".equals(h.get(BoxLink.SPENDS));
        tap.record(new TraceEvent.SetUp(
                now,
                id,
                front,
                h.get(BoxLink.TOKEN),
                key,
                h.get(BoxLink.CLASS),
                h.get(BoxLink.TITLE),
                rung,
                spend,
                h.get(BoxLink.CONTINUES)));
        BoxProcess.SetUpDecision reply = life.setUp(now, key, network.linkUtilization(cell), condition.slow);
        if (reply instanceof BoxProcess.SetUpDecision.Crashes) {
            terminate("pushed over");
        } else if (reply instanceof BoxProcess.SetUpDecision.AlreadyKnown) {
            answer(exchange, key, 409, null);
        } else if (reply instanceof BoxProcess.SetUpDecision.Rejected away) {
            answer(exchange, key, 503, away.reason());
        } else if (reply instanceof BoxProcess.SetUpDecision.Accepted works) {
            BoxProcess own = life;
            exchange.onClosed(() -> {
                tap.record(new TraceEvent.AttemptEnded(tap.nowMs(), key, "called off"));
                own.onConnectionLost(key);
            });
            BoxSession session = new BoxSession(
                    key,
                    h.get(BoxLink.TOKEN),
                    h.get(BoxLink.CLASS),
                    front,
                    String.valueOf(h.get(BoxLink.ZONE)),
                    h.get(BoxLink.TITLE),
                    type.scale(),
                    type.floor(),
                    rung,
                    now);
            loop.schedule(() -> ready(exchange, session, own, spend), (long) works.workMs(), TimeUnit.MILLISECONDS);
        }
    }

    private void ready(Exchange exchange, BoxSession session, BoxProcess own, boolean spend) {
        if (own != life || server == null) {
            return;
        }
        if (condition.isUnreachableFrom(session.zone)) {
            parked.add(() -> ready(exchange, session, own, spend));
            return;
        }
        if (!life.finishSetUp(session.key)) {
            return;
        }
        double now = tap.nowMs();
        shaper.addSession(now, session);
        sessions.put(session.key, session);
        session.process = life;
        session.seenAt = now;
        spends += spend ? 1 : 0;
        tap.record(new TraceEvent.AttemptStarted(now, session.key));
        exchange.onClosed(() -> {});
        if (random.nextDouble() < condition.answerLost) {
            exchange.channel().close();
            return;
        }
        tap.record(new TraceEvent.SetUpAnswer(now, session.key, 200, null));
        Headers headers = Headers.of(BoxLink.LOAD, BoxLink.formatLoad(load()), "content-type", "video/mp4");
        exchange.start(200, headers, MediaBytes.INIT_BYTES);
        exchange.write(MediaBytes.slice(session.title, 0, MediaBytes.INIT_BYTES));
        exchange.end();
        teller.reportSessionStart(session);
    }

    private void answer(Exchange exchange, String key, int status, String reason) {
        tap.record(new TraceEvent.SetUpAnswer(tap.nowMs(), key, status, reason));
        Headers headers = Headers.of(BoxLink.LOAD, BoxLink.formatLoad(load()));
        if (reason != null) {
            headers.add(BoxLink.REASON, reason);
        }
        exchange.respond(status, headers, new byte[0]);
    }

    private Load load() {
        return teller.load(life.inflight());
    }

    private void attempt(Exchange exchange, String method, String rest) {
        int slash = rest.indexOf('/');
        String key = slash < 0 ? rest : rest.substring(0, slash);
        String name = slash < 0 ? "" : rest.substring(slash + 1);
        if (method.equals("DELETE")) {
            boolean ran = life.cancel(key);
            end(key, "released");
            tap.record(new TraceEvent.CancelAnswer(tap.nowMs(), key, ran));
            exchange.respond(
                    204,
                    Headers.of(
                            BoxLink.LOAD,
                            BoxLink.formatLoad(load()),
                            BoxLink.RAN,
                            ran ? "1" : "0",
                            BoxLink.UPTIME_MS,
                            Long.toString(System.currentTimeMillis() - process)),
                    new byte[0]);
            return;
        }
        BoxSession session = sessions.get(key);
        if (session == null) {
            // A rung may overtake the end of the set-up's work: it is not lost, but it isn't for this
            // session yet.
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
            shaper.changeRung(tap.nowMs(), session, Integer.parseInt(to));
            tap.record(new TraceEvent.RungChanged(tap.nowMs(), key, session.rung));
            exchange.respond(204, Headers.of(BoxLink.LOAD, BoxLink.formatLoad(load())), new byte[0]);
        } else {
            session.seenAt = tap.nowMs();
            shaper.startSegment(exchange, session, name);
        }
    }

    private void end(String key, String why) {
        BoxSession session = sessions.remove(key);
        if (session != null) {
            shaper.removeSession(tap.nowMs(), session);
        }
        tap.record(new TraceEvent.AttemptEnded(tap.nowMs(), key, why));
    }

    /** Each second: the share delivered. */
    void reportDeliveredShare() {
        teller.reportDeliveredShare(sessions.values(), this::plays);
    }

    /** At the stated interval: how full link and uplink are. */
    void reportLinkUse() {
        teller.reportLinkUse(sessions.values(), this::plays);
    }

    /** True while the process that a session was set up at runs, whether or not the session plays on. */
    private boolean plays(BoxSession session) {
        return session.process == life && server != null;
    }

    /** Moves its bytes on. */
    void sendGrantedBytes(double now, double ms) {
        shaper.sendGrantedBytes(now, ms, sessions.values());
    }

    /** Ends sessions that nobody asks for any more. */
    void endIdleSessions(double now) {
        List<BoxSession> due = new ArrayList<>();
        for (BoxSession session : sessions.values()) {
            if (now - session.seenAt > IDLE_MS) {
                due.add(session);
            }
        }
        for (BoxSession session : due) {
            life.onSessionEnded(session.key);
            end(session.key, "idle");
            teller.reportSessionEnd(session);
        }
        connections.removeIf(channel -> !channel.isActive());
        notes.removeEnded();
    }
}
