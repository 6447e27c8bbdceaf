package spanrill;

import java.util.ArrayList;
import java.util.List;
import spanrill.SessionControl.Actions;
import spanrill.SessionControl.Kind;
import spanrill.SessionControl.ListKind;
import spanrill.SessionControl.Request;
import spanrill.SessionControl.Rules;
import spanrill.SessionControl.Server;
import spanrill.SessionControl.ServerState;
import spanrill.SessionControl.ServiceClass;
import spanrill.SessionControl.Settings;

/** A minimal front for tests: hosts one module, runs its timers and records its actions. */
final class ScriptedFront implements Actions {
    final List<String> actions = new ArrayList<>();
    final List<Double> attemptDeadlines = new ArrayList<>();
    final Control control;
    double now = 100_000;
    private final List<Timer> timers = new ArrayList<>();

    private record Timer(double dueAt, String token) {}

    ScriptedFront(Settings settings) {
        this(settings, 7);
    }

    ScriptedFront(Settings settings, long seed) {
        control = new Control(settings, seed, this);
        control.start(now);
    }

    /** Settings for four cells in one rack and two classes of session. */
    static Settings settings(int fronts, int maxAttempts, Rules rules) {
        return new Settings(
                0,
                fronts,
                "a",
                List.of(
                        new ServiceClass("free", 1000, 1, false, 0, 4, 1, 0),
                        new ServiceClass("paid", 1000, 3, true, 1, 4, 1, 2)),
                List.of(),
                List.of(new Kind("std", 24)),
                List.of(200.0, 350.0, 600.0, 1000.0, 1700.0),
                List.of(0.2, 0.4, 0.6, 0.8, 1.0),
                4,
                1,
                40_000,
                10_000,
                30_000,
                7,
                500,
                800,
                3000,
                maxAttempts,
                2000,
                0.04,
                0.1,
                rules);
    }

    /** Settings for three fronts, with tenants. */
    static Settings withTenants(List<SessionControl.Tenant> tenants) {
        Settings base = settings(3, 3, rules());
        return with(base, tenants, base.kinds(), base.racks());
    }

    /** Settings for three fronts, with the given kinds of server and number of racks. */
    static Settings withKinds(int racks, Kind... kinds) {
        Settings base = settings(3, 3, rules());
        return with(base, base.tenants(), List.of(kinds), racks);
    }

    private static Settings with(Settings base, List<SessionControl.Tenant> tenants, List<Kind> kinds, int racks) {
        return new Settings(
                base.me(),
                base.fronts(),
                base.zone(),
                base.classes(),
                tenants,
                kinds,
                base.rungKb(),
                base.rungWorth(),
                base.cells(),
                racks,
                base.linksKb(),
                base.weightKb(),
                base.uplinkKb(),
                base.stall(),
                base.changeCostMs(),
                base.seeMs(),
                base.tellMs(),
                base.maxAttempts(),
                base.maxRetryAfterMs(),
                base.crossZonePrice(),
                base.overShareWorth(),
                base.rules());
    }

    static Rules rules() {
        return new Rules(12_000, 0.4, 2, 1500, Double.NaN, Double.NaN, Double.NaN);
    }

    /** Creates a front that knows the servers s0 to s3, all of them warm. */
    static ScriptedFront warm() {
        ScriptedFront front = new ScriptedFront(settings(3, 3, rules()));
        front.list(ListKind.KEPT, ServerState.READY, Double.NaN, 0, 1, 2, 3);
        front.run(15_000);
        return front;
    }

    void list(ListKind kind, ServerState state, double startedAt, int... cells) {
        List<Server> servers = new ArrayList<>();
        for (int cell : cells) {
            servers.add(new Server("s" + cell, "a", "std", cell, state, 1, startedAt));
        }
        control.servers(now, kind, servers);
    }

    Request newRequest(String id, String className, double leftMs) {
        return new Request(id, className, null, "k" + id, "title", leftMs, 0, 4, 4, false, false);
    }

    /** Sends a request to the module and returns the server that it was sent to, or null. */
    String request(String id, String className) {
        control.request(now, newRequest(id, className, 3000));
        return sentTo(id);
    }

    /** Returns the server of the last attempt of a request, or null. */
    String sentTo(String id) {
        String server = null;
        for (String line : actions) {
            if (line.startsWith("send " + id + " ")) {
                server = line.substring(line.lastIndexOf(' ') + 1);
            }
        }
        return server;
    }

    /** Sends a request and reports that its session plays. Returns its server. */
    String play(String id, String className) {
        String server = request(id, className);
        control.playing(now, id, server, 50);
        return server;
    }

    long count(String prefix) {
        return actions.stream().filter(line -> line.startsWith(prefix)).count();
    }

    /** Advances the clock and runs the timers that become due. */
    void run(double durationMs) {
        double end = now + durationMs;
        for (Timer timer = nextTimer(end); timer != null; timer = nextTimer(end)) {
            timers.remove(timer);
            now = Math.max(now, timer.dueAt);
            control.timer(now, timer.token);
        }
        now = end;
    }

    private Timer nextTimer(double end) {
        Timer first = null;
        for (Timer timer : timers) {
            if (timer.dueAt <= end && (first == null || timer.dueAt < first.dueAt)) {
                first = timer;
            }
        }
        return first;
    }

    @Override
    public void send(String request, double until, String server) {
        actions.add("send " + request + " " + server);
        attemptDeadlines.add(until);
    }

    @Override
    public void rate(String request, int rung) {
        actions.add("rate " + request + " " + rung);
    }

    @Override
    public void move(String request) {
        actions.add("move " + request);
    }

    @Override
    public void refuse(String request, double retryAfterMs) {
        actions.add("refuse " + request + " " + retryAfterMs);
    }

    @Override
    public void fail(String request) {
        actions.add("fail " + request);
    }

    @Override
    public void timer(String token, double delayMs) {
        timers.add(new Timer(now + delayMs, token));
    }

    @Override
    public void log(String text) {
        actions.add("log " + text);
    }
}
