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
import spanrill.check.Tap;
import spanrill.check.TapEvent;
import spanrill.model.Draws;
import spanrill.model.link.LinkNetwork;
import spanrill.standin.Net;
import spanrill.standin.day.Day;
import spanrill.wire.box.BoxLink;
import spanrill.wire.box.Note;
import spanrill.wire.http.ByteRange;
import spanrill.wire.http.Exchange;
import spanrill.wire.http.Headers;

/** One replay box. Its process may die and start anew on the same port. On one loop with all of its fleet. */
public final class StandinBox {
    private static final double TURNED_AWAY_AT = 1.2;
    private static final double IDLE_MS = 12_000;
    private static final double MOST_USE = 99;
    private static final int MOST_TOMBSTONES = 20_000;
    private static final double START_BOOST = 4;
    private static final double STEADY_BOOST = 1.3;

    private final String id;
    private final String zone;
    private final int cell;
    private final int rack;
    private final double linkKb;
    private final LinkNetwork network;
    private final Day day;
    private final EventLoop loop;
    private final Tap tap;
    private final UniformRandomProvider random;
    private final Condition condition = new Condition();
    private final Map<String, BoxSession> sessions = new LinkedHashMap<>();
    private final Map<String, Boolean> tombstones = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MOST_TOMBSTONES;
        }
    };
    private final List<Transfer> transfers = new ArrayList<>();
    private final BoxNotes notes;
    private final Set<Channel> connections = new LinkedHashSet<>();
    private final List<Double> coldSends = new ArrayList<>();
    private final List<Runnable> parked = new ArrayList<>();
    private Channel server;
    private int port;
    private long process;
    private double startedAt = Double.NEGATIVE_INFINITY;
    private boolean draining;
    private int settingUp;
    private double shownLink;
    private double shownUplink;
    private long spends;

    StandinBox(String id, String zone, int cell, int rack, double linkKb, LinkNetwork network, Day day,
            EventLoop loop,
            Tap tap,
            long seed) {
        this.id = id;
        this.zone = zone;
        this.cell = cell;
        this.linkKb = linkKb;
        this.rack = rack;
        this.network = network;
        this.day = day;
        this.loop = loop;
        this.tap = tap;
        random = Draws.of(seed, id);
        notes = new BoxNotes(loop);
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
    public Condition condition() {
        return condition;
    }

    /** Its link, kB a second, without troubles. */
    public double linkKb() {
        return linkKb;
    }

    /** Start of its process in ms since 1970; 0 when long ago. */
    public double listedStart() {
        return Double.isInfinite(startedAt) ? 0 : process;
    }

    /** True while its process runs. */
    public boolean up() {
        return server != null;
    }

    Collection<BoxSession> sessions() {
        return sessions.values();
    }

    /** Sessions that it plays. */
    public int playing() {
        return sessions.size();
    }

    /** Set-ups that spent something. */
    public long spends() {
        return spends;
    }

    /** Starts its process, cold or long warm. On the loop; listens a moment later. */
    public void start(boolean cold) {
        process = System.currentTimeMillis();
        startedAt = cold ? tap.now() : Double.NEGATIVE_INFINITY;
        draining = false;
        condition.mute = false;
        long started = process;
        Net.bind(loop, port, connections::add, this::route).addListener(future -> {
            if (!future.isSuccess()) {
                if (process == started) {
                    // The port is still being given back.
                    loop.schedule(() -> start(cold), 20, TimeUnit.MILLISECONDS);
                }
                return;
            }
            server = ((io.netty.channel.ChannelFuture) future).channel();
            port = Net.port(server);
            tap.put(new TapEvent.BoxStart(tap.now(), id, cold));
        });
    }

    /** Its process dies: all connections are reset. */
    public void die(String why) {
        if (server == null) {
            return;
        }
        tap.put(new TapEvent.BoxDown(tap.now(), id, why));
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
        sessions.values().forEach(session -> network.leave(tap.now(), session.flow));
        sessions.clear();
        transfers.clear();
        notes.clear();
        parked.clear();
        coldSends.clear();
        tombstones.clear();
        settingUp = 0;
    }

    /** It finishes what it has and takes nothing new. */
    public void drain() {
        draining = true;
    }

    /** It goes silent, or comes back to life with what waits in its sockets. */
    public void mute(boolean on) {
        condition.mute = on;
        tap.put(new TapEvent.BoxMute(tap.now(), id, on, null));
        if (!on) {
            unpark();
        }
    }

    /** A hall can't reach it, or can again. */
    public void cut(String from, boolean on) {
        if (condition.cut.contains(from) == on) {
            return;
        }
        condition.cut(from, on);
        tap.put(new TapEvent.BoxMute(tap.now(), id, on, from));
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
        if (condition.silentTo(from == null ? "" : from)) {
            // It stays unread: whoever gives up before it is read again was never heard.
            parked.add(() -> {
                if (!exchange.over()) {
                    route(exchange);
                }
            });
            return;
        }
        String path = exchange.head().path();
        String method = exchange.head().method();
        if (path.equals(BoxLink.SETUP) && method.equals("POST")) {
            setUp(exchange);
        } else if (path.equals(BoxLink.NOTES)) {
            notes.open(exchange, process);
        } else if (path.startsWith(BoxLink.ATTEMPT)) {
            attempt(exchange, method, path.substring(BoxLink.ATTEMPT.length()));
        } else {
            exchange.respond(404, new Headers(), new byte[0]);
        }
    }

    private void setUp(Exchange exchange) {
        Headers h = exchange.head().headers();
        String key = h.get(BoxLink.KEY);
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
        double now = tap.now();
        boolean spend = "1".equals(h.get(BoxLink.SPENDS));
        tap.put(new TapEvent.SetUp(now, id, front, h.get(BoxLink.TOKEN), key, h.get(BoxLink.CLASS),
                h.get(BoxLink.TITLE), rung, spend, h.get(BoxLink.CONTINUES)));
        if (pushedOver(now)) {
            die("pushed over");
            return;
        }
        if (tombstones.containsKey(key)) {
            answer(exchange, key, 409, null);
            return;
        }
        double warmth = warmth(now);
        String reason = draining ? "draining"
                : sessions.size() + settingUp >= day.boxes().places() ? "places"
                : network.linkUse(cell) > TURNED_AWAY_AT ? "link" : null;
        if (reason != null) {
            answer(exchange, key, 503, reason);
            return;
        }
        settingUp++;
        long own = process;
        exchange.onClosed(() -> {
            tap.put(new TapEvent.End(tap.now(), key, "called off"));
            tombstones.putIfAbsent(key, true);
        });
        double work = day.boxes().setUpMs() * (0.5 + random.nextDouble()) * condition.slow / warmth;
        BoxSession session = new BoxSession(key, h.get(BoxLink.TOKEN), h.get(BoxLink.CLASS), front,
                String.valueOf(h.get(BoxLink.ZONE)), h.get(BoxLink.TITLE), type.scale(), rung, now);
        loop.schedule(() -> ready(exchange, session, own, spend), (long) work, TimeUnit.MILLISECONDS);
    }

    private boolean pushedOver(double now) {
        if (now - startedAt >= day.boxes().coldMs()) {
            return false;
        }
        double fall = day.rules().fallMs();
        coldSends.removeIf(t -> t <= now - fall);
        coldSends.add(now);
        double budget = day.rules().fallMultiple() * day.boxes().places() / day.boxes()
                .coldMs() * warmth(now) * fall;
        return coldSends.size() > budget + 2;
    }

    private double warmth(double now) {
        double part = Math.min(1, (now - startedAt) / Math.max(1, day.boxes().coldMs()));
        return day.boxes().coldShare() + (1 - day.boxes().coldShare()) * part;
    }

    private void ready(Exchange exchange, BoxSession session, long own, boolean spend) {
        if (own != process || server == null) {
            return;
        }
        settingUp--;
        if (tombstones.containsKey(session.key)) {
            return;
        }
        if (condition.silentTo(session.zone)) {
            settingUp++;
            parked.add(() -> ready(exchange, session, own, spend));
            return;
        }
        double now = tap.now();
        session.flow = network.join(now, cell, rate(session));
        sessions.put(session.key, session);
        session.seenAt = now;
        spends += spend ? 1 : 0;
        tap.put(new TapEvent.Ran(now, session.key));
        if (random.nextDouble() < condition.answerLost) {
            exchange.onClosed(() -> { });
            exchange.channel().close();
            return;
        }
        exchange.onClosed(() -> { });
        tap.put(new TapEvent.SetUpAnswer(now, session.key, 200, null));
        Headers headers = Headers.of(BoxLink.LOAD, BoxLink.format(load()), "content-type", "video/mp4");
        exchange.start(200, headers, Media.INIT_BYTES);
        exchange.write(Media.part(session.title, 0, Media.INIT_BYTES));
        exchange.end();
        notes.tell(session.front, new Note(Note.Kind.LINK, session.key, shown(network.linkUse(cell))));
        notes.tell(session.front, new Note(Note.Kind.UPLINK, session.key, shown(network.uplinkUse(rack))));
    }

    private void answer(Exchange exchange, String key, int status, String reason) {
        tap.put(new TapEvent.SetUpAnswer(tap.now(), key, status, reason));
        Headers headers = Headers.of(BoxLink.LOAD, BoxLink.format(load()));
        if (reason != null) {
            headers.add(BoxLink.REASON, reason);
        }
        exchange.respond(status, headers, new byte[0]);
    }

    private Load load() {
        return new Load(sessions.size() + settingUp, shownLink, shownUplink);
    }

    private void attempt(Exchange exchange, String method, String rest) {
        int slash = rest.indexOf('/');
        String key = slash < 0 ? rest : rest.substring(0, slash);
        String name = slash < 0 ? "" : rest.substring(slash + 1);
        if (method.equals("DELETE")) {
            // What ran is remembered as false in the tombstones: only what never began gives a proof.
            boolean ran = sessions.containsKey(key) || Boolean.FALSE.equals(tombstones.get(key));
            end(key, "released");
            tombstones.put(key, !ran);
            tap.put(new TapEvent.CallOffAnswer(tap.now(), key, ran));
            exchange.respond(204, Headers.of(BoxLink.LOAD, BoxLink.format(load()), BoxLink.RAN, ran ? "1"
                    : "0",
                    BoxLink.UP_MS, Long.toString(System.currentTimeMillis() - process)), new byte[0]);
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
            String to = exchange.head().query("to");
            if (to == null || !to.matches("\\d{1,3}") || Integer.parseInt(to) >= day.ladder().kb().size()) {
                exchange.respond(400, new Headers(), new byte[0]);
                return;
            }
            session.rung = Integer.parseInt(to);
            network.rate(tap.now(), session.flow, rate(session));
            tap.put(new TapEvent.Rung(tap.now(), key, session.rung));
            exchange.respond(204, Headers.of(BoxLink.LOAD, BoxLink.format(load())), new byte[0]);
        } else {
            segment(exchange, session, name);
        }
    }

    private void end(String key, String why) {
        BoxSession session = sessions.remove(key);
        if (session != null) {
            tombstones.put(key, false);
            network.leave(tap.now(), session.flow);
        }
        tap.put(new TapEvent.End(tap.now(), key, why));
    }

    private void segment(Exchange exchange, BoxSession session, String name) {
        long whole;
        if (name.equals("init.mp4")) {
            whole = Media.INIT_BYTES;
        } else if (name.matches("\\d{1,3}/[1-9]\\d{0,8}\\.m4s")) {
            int rung = Integer.parseInt(name.substring(0, name.indexOf('/')));
            int number = Integer.parseInt(name.substring(name.indexOf('/') + 1, name.length() - 4));
            if (rung >= day.ladder().kb().size()
                    || (number - 1) * day.titles().segmentMs() >= day.titles().durationMs()) {
                exchange.respond(404, new Headers(), new byte[0]);
                return;
            }
            whole = Math.max(1, Math.round(bytesPerMs(session, rung) * day.titles().segmentMs()));
            session.segments++;
        } else {
            exchange.respond(404, new Headers(), new byte[0]);
            return;
        }
        session.seenAt = tap.now();
        String range = exchange.head().headers().get("range");
        ByteRange part = ByteRange.understood(range) ? ByteRange.of(range, whole) : new ByteRange(0,
                whole - 1);
        if (part == null) {
            exchange.respond(416, Headers.of("content-range", "bytes */" + whole), new byte[0]);
            return;
        }
        Headers headers = Headers.of("content-type", "video/mp4");
        boolean partial = ByteRange.understood(range);
        if (partial) {
            headers.add("content-range", "bytes " + part.first() + "-" + part.last() + "/" + whole);
        }
        exchange.start(partial ? 206 : 200, headers, part.length());
        session.transfers++;
        transfers.add(new Transfer(exchange, session, session.title + "/" + name, part.first(),
                part.length()));
    }

    private double bytesPerMs(BoxSession session, int rung) {
        return day.ladder().kb().get(rung) * session.scale * day.byteScale();
    }

    private long rate(BoxSession session) {
        return Math.max(1, Math.round(bytesPerMs(session, session.rung) * 1000));
    }

    /** A use as it can be told: a link that gives nothing is told as very full. */
    private static double shown(double use) {
        return Math.min(use, MOST_USE);
    }

    // ---- notes

    private void tellLate(BoxSession session, Note... told) {
        long own = process;
        notes.tellLate(day.notes().lateMs() + condition.lateMs,
                () -> own == process && !condition.silentTo(session.zone), session.front, told);
    }

    /** Each second: the share delivered, on one session of each front. */
    void tellShare() {
        Set<Integer> told = new LinkedHashSet<>();
        for (BoxSession session : sessions.values()) {
            if (!told.add(session.front)) {
                continue;
            }
            double share = network.share(cell);
            boolean isShort = share < 0.98;
            if (isShort || session.toldShort) {
                tellLate(session, new Note(Note.Kind.DELIVERED, session.key, share));
            }
            session.toldShort = isShort;
        }
    }

    /** At the stated interval: how full link and uplink are, on one session of each front. */
    void tellUse() {
        shownLink = shown(network.linkUse(cell));
        shownUplink = shown(network.uplinkUse(rack));
        Set<Integer> told = new LinkedHashSet<>();
        for (BoxSession session : sessions.values()) {
            if (told.add(session.front)) {
                tellLate(session, new Note(Note.Kind.LINK, session.key, shownLink),
                        new Note(Note.Kind.UPLINK, session.key, shownUplink));
            }
        }
    }

    // ---- bytes

    /** Moves its transfers on: each session by what the model granted it since the last time. */
    void advance(double now, double ms) {
        double share = network.share(cell);
        for (BoxSession session : sessions.values()) {
            double perMs = session.flow.rate() * share / 1000;
            session.bucket.granted(network.granted(now, session.flow), perMs);
            session.hadRoom |= share >= 1;
            if (session.transfers == 0) {
                session.idleMs += ms;
            } else if (share >= 1) {
                // Where the link has room a player may fill its buffer.
                session.bucket.extra(perMs * ms * ((session.segments <= 2 ? START_BOOST : STEADY_BOOST) - 1));
            }
        }
        transfers.removeIf(transfer -> {
            boolean silent = condition.silentTo(transfer.session.zone);
            boolean done = !silent && transfer.advance();
            if (silent || transfer.held()) {
                // Not the link holds it back but its reader, or a cut.
                transfer.session.idleMs += ms;
            }
            transfer.session.transfers -= done ? 1 : 0;
            return done;
        });
    }

    /** Ends sessions that nobody asks for any more. */
    void sweep(double now) {
        List<BoxSession> due = new ArrayList<>();
        for (BoxSession session : sessions.values()) {
            if (now - session.seenAt > IDLE_MS) {
                due.add(session);
            }
        }
        for (BoxSession session : due) {
            end(session.key, "idle");
            notes.tell(session.front, new Note(Note.Kind.OVER, session.key, 0));
        }
        connections.removeIf(channel -> !channel.isActive());
        notes.sweep();
    }
}
