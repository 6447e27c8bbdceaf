package spanrill.simhost;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spanrill.Control;
import spanrill.SessionControl;
import spanrill.SessionControl.ListKind;
import spanrill.SessionControl.Load;
import spanrill.SessionControl.NoteKind;
import spanrill.SessionControl.Outcome;
import spanrill.SessionControl.Request;
import spanrill.SessionControl.Server;
import spanrill.SessionControl.ServerState;
import spanrill.SessionControl.Settings;
import spanrill.setup.FlattenedObject;
import spanrill.setup.InvalidFieldException;
import spanrill.setup.SettingsReader;

/**
 * Speaks the users' bench: parses batches of events, hands each to the module of its instance, and writes the
 * actions. It decides nothing.
 */
final class Simhost {
    private static final int MOVED = 8;
    private static final int AGAIN = 16;
    private static final Map<String, ListKind> LIST_KINDS = Map.of(
            "diff", ListKind.CHANGES, "snapshot", ListKind.WHOLE, "disk", ListKind.KEPT, "error", ListKind.FAILED);
    private static final Map<String, Outcome> OUTCOMES = Map.of(
            "GOOD",
            Outcome.OK,
            "BAD",
            Outcome.ERROR,
            "FULL",
            Outcome.FULL,
            "LATE",
            Outcome.TIMEOUT,
            "NOCONN",
            Outcome.CONNECT_FAILED,
            "RST",
            Outcome.RESET,
            "CXL",
            Outcome.CANCELLED,
            "NOP",
            Outcome.MOOT);

    private final Writer out;
    private final StringBuilder reply = new StringBuilder();
    private final Map<Integer, Front> fronts = new HashMap<>();
    private final Map<Integer, List<Server>> sheets = new HashMap<>();
    private BufferedReader in;
    private long lines;
    private double now;

    /** One instance: its module, and the names in which its load reports come. */
    private record Front(SessionControl control, List<String> reportNames) {}

    Simhost(Writer out) {
        this.out = out;
    }

    /** Serves batches until the end of input. */
    void run(BufferedReader input) throws IOException {
        in = input;
        for (Line line = readLine(); line != null; line = readLine()) {
            if (!line.word().equals("TICK")) {
                throw new WireException("line " + lines + ": expected TICK, got '" + line.word() + "'");
            }
            now = line.number("sim_time");
            long round = line.whole("round", 0, Long.MAX_VALUE);
            line.end();
            reply.setLength(0);
            for (line = readInside(); !line.word().equals("END"); line = readInside()) {
                event(line);
            }
            line.end();
            reply.append("EOR\t").append(round).append('\n');
            out.append(reply);
            out.flush();
        }
    }

    private Line readLine() throws IOException {
        String text = in.readLine();
        lines++;
        while (text != null && text.isEmpty()) {
            text = in.readLine();
            lines++;
        }
        return text == null ? null : new Line(lines, text);
    }

    private Line readInside() throws IOException {
        Line line = readLine();
        if (line == null) {
            throw new WireException("line " + lines + ": input ended within a batch");
        }
        return line;
    }

    private void event(Line line) throws IOException {
        if (line.word().equals("SHEET")) {
            sheet(line);
            return;
        }
        if (line.word().equals("TICK") || line.word().equals("ENTRY")) {
            throw new WireException("line " + lines + ": " + line.word() + " out of place");
        }
        int who = line.integer("who");
        if (line.word().equals("INIT")) {
            init(line, who);
            return;
        }
        Front front = fronts.get(who);
        if (front == null) {
            throw line.fault("who", "names an instance that is not running: " + who);
        }
        if (line.word().equals("DESTROY")) {
            line.end();
            fronts.remove(who);
            return;
        }
        Runnable event = parse(line, front);
        line.end();
        guarded(who, event);
    }

    private void guarded(int who, Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            say("CRASH", who, (e + (trace.length > 0 ? " at " + trace[0] : "")).replaceAll("\\s+", " "));
        }
    }

    private void init(Line line, int who) {
        long seed = line.whole("seed", Long.MIN_VALUE, Long.MAX_VALUE);
        SettingsReader reader = new SettingsReader(new FlattenedObject(pairs(line)));
        Settings settings;
        try {
            settings = reader.settings();
        } catch (InvalidFieldException fault) {
            throw line.fault(fault.path(), fault.problem());
        }
        Control control = new Control(settings, seed, new WireActions(who));
        fronts.put(who, new Front(control, reader.reportNames()));
        guarded(who, () -> control.start(now));
    }

    private static Map<String, String> pairs(Line line) {
        Map<String, String> pairs = new HashMap<>();
        while (line.more()) {
            String pair = line.text("setup");
            int eq = pair.indexOf('=');
            if (eq <= 0) {
                throw line.fault("setup", "has a part that is not path=value: '" + pair + "'");
            }
            pairs.put(pair.substring(0, eq), pair.substring(eq + 1));
        }
        return pairs;
    }

    private Runnable parse(Line line, Front front) {
        SessionControl control = front.control();
        switch (line.word()) {
            case "DIRECTORY_UPDATE":
                return directoryUpdate(line, control);
            case "REQ": {
                Request request = request(line);
                return () -> control.request(now, request);
            }
            case "TAKEN_OVER": {
                Request request = request(line);
                String server = line.text("server");
                return () -> control.takenOver(now, request, server);
            }
            case "ACK_FIRST": {
                String id = line.text("corr");
                double took = line.number("wait_time");
                String server = line.text("server");
                line.integer("try");
                return () -> control.playing(now, id, server, took);
            }
            case "PROGRESS":
                return progress(line, control);
            case "RETURNED":
                return returned(line, front);
            case "TIMED_OUT_CLIENT": {
                String id = line.text("corr");
                return () -> control.gone(now, id);
            }
            case "DUE": {
                String token = line.text("tag");
                return () -> control.timer(now, token);
            }
            case "CHECKED":
                line.text("server");
                line.text("code");
                line.number("wait_time");
                load(line, front.reportNames());
                return () -> {};
            case "FROM_PEER":
                line.integer("author");
                line.text("raw");
                return () -> {};
            default:
                throw new WireException("line " + lines + ": unknown event '" + line.word() + "'");
        }
    }

    private Runnable directoryUpdate(Line line, SessionControl control) {
        ListKind kind = pick(line, "how", LIST_KINDS);
        line.text("gen");
        String slot = line.text("slot");
        List<Server> list = kind == ListKind.FAILED ? List.of() : sheet(line, slot);
        return () -> control.servers(now, kind, list);
    }

    private List<Server> sheet(Line line, String slot) {
        List<Server> servers = slot.matches("\\d{1,9}") ? sheets.get(Integer.parseInt(slot)) : null;
        if (servers == null) {
            throw line.fault("slot", "names no list that was given: '" + slot + "'");
        }
        return servers;
    }

    private Runnable returned(Line line, Front front) {
        String id = line.text("corr");
        boolean closed = line.bool("no_more");
        line.number("wait_time");
        Outcome outcome = pick(line, "code", OUTCOMES);
        line.integer("try");
        String server = line.textOrNull("server");
        Load load = load(line, front.reportNames());
        return () -> front.control().ended(now, id, closed, outcome, server, load);
    }

    private Runnable progress(Line line, SessionControl control) {
        String id = line.text("corr");
        String server = line.text("server");
        double value = line.number("x");
        line.integer("try");
        int topic = line.integer("topic");
        NoteKind kind =
                switch (topic) {
                    case 1 -> NoteKind.DELIVERED;
                    case 2 -> NoteKind.RUNG;
                    case 3 -> NoteKind.LINK_USE;
                    case 4 -> NoteKind.UPLINK_USE;
                    default -> null;
                };
        return () -> {
            if (kind != null) {
                control.note(now, id, server, kind, value);
            }
        };
    }

    private Request request(Line line) {
        String id = line.text("corr");
        String category = line.text("category");
        String org = line.textOrNull("org");
        String key = line.textOrNull("key");
        String title = line.textOrNull("programme");
        double left = line.number("remaining");
        line.numberOrNaN("cost");
        int home = line.integer("base");
        int copies = line.integer("span");
        int top = line.integer("top");
        int marks = line.integer("marks");
        return new Request(
                id,
                category,
                org,
                key,
                title,
                left,
                home,
                copies,
                top,
                (marks & MOVED) != 0,
                (marks & (MOVED | AGAIN)) != 0);
    }

    private Load load(Line line, List<String> names) {
        String row = line.textOrNull("usage");
        if (row == null) {
            return null;
        }
        List<Double> values = new ArrayList<>();
        for (String item : row.split(",", -1)) {
            try {
                values.add(Double.parseDouble(item));
            } catch (NumberFormatException e) {
                throw line.fault("usage", "has a value that is not a number: '" + item + "'");
            }
        }
        return SettingsReader.load(names, values);
    }

    private <T> T pick(Line line, String field, Map<String, T> words) {
        String word = line.text(field);
        T value = words.get(word);
        if (value == null) {
            throw line.fault(field, "is not a known word: '" + word + "'");
        }
        return value;
    }

    private void sheet(Line line) throws IOException {
        int slot = line.integer("slot");
        long count = line.whole("members", 0, 10_000_000);
        line.end();
        List<Server> servers = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            Line entry = readInside();
            if (!entry.word().equals("ENTRY")) {
                throw new WireException("line " + lines + ": expected ENTRY, got '" + entry.word() + "'");
            }
            String id = entry.text("server");
            String zone = entry.textOrNull("rack_zone");
            String kind = entry.textOrNull("family_type");
            int cell = entry.integer("position");
            ServerState state = pick(
                    entry, "phase", Map.of("U", ServerState.READY, "L", ServerState.DRAINING, "D", ServerState.GONE));
            double weight = entry.numberOrNaN("power_hint");
            double started = entry.numberOrNaN("last_start");
            entry.end();
            servers.add(new Server(id, zone, kind, cell, state, weight, started == 0 ? Double.NaN : started));
        }
        sheets.put(slot, servers);
    }

    private void say(String word, int who, Object... parts) {
        reply.append(word).append('\t').append(who);
        for (Object part : parts) {
            reply.append('\t').append(part);
        }
        reply.append('\n');
    }

    /** The actions of one instance, written to the reply. */
    private final class WireActions implements SessionControl.Actions {
        private final int who;

        WireActions(int who) {
            this.who = who;
        }

        @Override
        public void send(String request, double until, String server) {
            say("PASS_ON", who, request, until, server);
        }

        @Override
        public void rate(String request, int rung) {
            say("PITCH", who, request, rung);
        }

        @Override
        public void move(String request) {
            say("REBALANCE", who, request);
        }

        @Override
        public void refuse(String request, double retryAfterMs) {
            say("REJECT", who, request, retryAfterMs);
        }

        @Override
        public void fail(String request) {
            say("END_FAILED", who, request);
        }

        @Override
        public void timer(String token, double delayMs) {
            say("NOTIFY_ME", who, token, delayMs);
        }

        @Override
        public void log(String text) {
            say("SAY_LOG", who, text);
        }
    }
}
