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

/** A front of a few lines: it hosts one module, plays its timers and writes down its actions. */
final class ScriptedFront implements Actions {
    final List<String> said = new ArrayList<>();
    final List<Double> untils = new ArrayList<>();
    final Control control;
    double now = 100_000;
    private final List<Due> timers = new ArrayList<>();

    private record Due(double at, String token) {}

    ScriptedFront(Settings settings) {
        this(settings, 7);
    }

    ScriptedFront(Settings settings, long seed) {
        control = new Control(settings, seed, this);
        control.start(now);
    }

    /** Four servers of one rack, long started, the given front's list still fresh. */
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

    /** The same with tenants. */
    static Settings withTenants(List<SessionControl.Tenant> tenants) {
        Settings s = settings(3, 3, rules());
        return new Settings(
                s.me(),
                s.fronts(),
                s.zone(),
                s.classes(),
                tenants,
                s.kinds(),
                s.rungKb(),
                s.rungWorth(),
                s.cells(),
                s.racks(),
                s.linksKb(),
                s.weightKb(),
                s.uplinkKb(),
                s.stall(),
                s.changeCostMs(),
                s.seeMs(),
                s.tellMs(),
                s.maxAttempts(),
                s.maxRetryAfterMs(),
                s.crossZonePrice(),
                s.overShareWorth(),
                s.rules());
    }

    static Rules rules() {
        return new Rules(12_000, 0.4, 2, 1500, Double.NaN, Double.NaN, Double.NaN);
    }

    /** A front with servers s0 to s3 known and warm. */
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

    Request request(String id, String type, double left) {
        return new Request(id, type, null, "k" + id, "title", left, 0, 4, 4, false, false);
    }

    /** Tells a request and gives the server it was sent to, or null. */
    String ask(String id, String type) {
        control.request(now, request(id, type, 3000));
        return sentTo(id);
    }

    /** The server of the last attempt of a request, or null. */
    String sentTo(String id) {
        String server = null;
        for (String line : said) {
            if (line.startsWith("send " + id + " ")) {
                server = line.substring(line.lastIndexOf(' ') + 1);
            }
        }
        return server;
    }

    /** Asks for a session and has it play. */
    String play(String id, String type) {
        String server = ask(id, type);
        control.playing(now, id, server, 50);
        return server;
    }

    long count(String start) {
        return said.stream().filter(line -> line.startsWith(start)).count();
    }

    /** Lets time pass, with the timers due in it. */
    void run(double ms) {
        double end = now + ms;
        for (Due due = next(end); due != null; due = next(end)) {
            timers.remove(due);
            now = Math.max(now, due.at);
            control.timer(now, due.token);
        }
        now = end;
    }

    private Due next(double end) {
        Due first = null;
        for (Due due : timers) {
            if (due.at <= end && (first == null || due.at < first.at)) {
                first = due;
            }
        }
        return first;
    }

    @Override
    public void send(String request, double until, String server) {
        said.add("send " + request + " " + server);
        untils.add(until);
    }

    @Override
    public void rate(String request, int rung) {
        said.add("rate " + request + " " + rung);
    }

    @Override
    public void move(String request) {
        said.add("move " + request);
    }

    @Override
    public void refuse(String request, double retryAfterMs) {
        said.add("refuse " + request + " " + retryAfterMs);
    }

    @Override
    public void fail(String request) {
        said.add("fail " + request);
    }

    @Override
    public void timer(String token, double delayMs) {
        timers.add(new Due(now + delayMs, token));
    }

    @Override
    public void log(String text) {
        said.add("log " + text);
    }
}
