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
 * Connects decision modules to the simulator. Reads batches of events, passes each event to the module of its instance
 * and writes the resulting actions.
 */
final class SimulatorAdapter {
    private static final int MOVED_MARK = 8;
    private static final int RETURNING_MARK = 16;
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

    private final Writer output;
    private final StringBuilder reply = new StringBuilder();
    private final Map<Integer, Front> fronts = new HashMap<>();
    private final Map<Integer, List<Server>> serverLists = new HashMap<>();
    private BufferedReader input;
    private long lineNumber;
    private double now;

    /** One instance: its module and the names of the values in its load reports, in order. */
    private record Front(SessionControl control, List<String> reportNames) {}

    SimulatorAdapter(Writer output) {
        this.output = output;
    }

    /** Processes batches until the end of input. */
    void run(BufferedReader input) throws IOException {
        this.input = input;
        for (InputLine line = readLine(); line != null; line = readLine()) {
            if (!line.type().equals("TICK")) {
                throw new InputFormatException("line " + lineNumber + ": expected TICK, got '" + line.type() + "'");
            }
            now = line.number("sim_time");
            long round = line.wholeNumber("round", 0, Long.MAX_VALUE);
            line.expectEnd();
            reply.setLength(0);
            for (line = readBatchLine(); !line.type().equals("END"); line = readBatchLine()) {
                handleEvent(line);
            }
            line.expectEnd();
            reply.append("EOR\t").append(round).append('\n');
            output.append(reply);
            output.flush();
        }
    }

    private InputLine readLine() throws IOException {
        String text = input.readLine();
        lineNumber++;
        while (text != null && text.isEmpty()) {
            text = input.readLine();
            lineNumber++;
        }
        return text == null ? null : new InputLine(lineNumber, text);
    }

    private InputLine readBatchLine() throws IOException {
        InputLine line = readLine();
        if (line == null) {
            throw new InputFormatException("line " + lineNumber + ": input ended within a batch");
        }
        return line;
    }

    private void handleEvent(InputLine line) throws IOException {
        if (line.type().equals("SHEET")) {
            readServerList(line);
            return;
        }
        if (line.type().equals("TICK") || line.type().equals("ENTRY")) {
            throw new InputFormatException(
                    "line " + lineNumber + ": " + line.type() + " is not allowed at this place in a batch");
        }
        int instance = line.integer("who");
        if (line.type().equals("INIT")) {
            init(line, instance);
            return;
        }
        Front front = fronts.get(instance);
        if (front == null) {
            throw line.fault("who", "names an instance that is not running: " + instance);
        }
        if (line.type().equals("DESTROY")) {
            line.expectEnd();
            fronts.remove(instance);
            return;
        }
        Runnable event = parse(line, front);
        line.expectEnd();
        runGuarded(instance, event);
    }

    private void runGuarded(int instance, Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            writeAction("CRASH", instance, (e + (trace.length > 0 ? " at " + trace[0] : "")).replaceAll("\\s+", " "));
        }
    }

    private void init(InputLine line, int instance) {
        long seed = line.wholeNumber("seed", Long.MIN_VALUE, Long.MAX_VALUE);
        SettingsReader reader = new SettingsReader(new FlattenedObject(readPairs(line)));
        Settings settings;
        try {
            settings = reader.settings();
        } catch (InvalidFieldException e) {
            throw line.fault(e.path(), e.problem());
        }
        Control control = new Control(settings, seed, new WireActions(instance));
        fronts.put(instance, new Front(control, reader.reportNames()));
        runGuarded(instance, () -> control.start(now));
    }

    private static Map<String, String> readPairs(InputLine line) {
        Map<String, String> pairs = new HashMap<>();
        while (line.hasMore()) {
            String pair = line.text("setup");
            int equalsSign = pair.indexOf('=');
            if (equalsSign <= 0) {
                throw line.fault("setup", "has a part that is not path=value: '" + pair + "'");
            }
            pairs.put(pair.substring(0, equalsSign), pair.substring(equalsSign + 1));
        }
        return pairs;
    }

    private Runnable parse(InputLine line, Front front) {
        SessionControl control = front.control();
        switch (line.type()) {
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
                double setUpMs = line.number("wait_time");
                String server = line.text("server");
                line.integer("try");
                return () -> control.playing(now, id, server, setUpMs);
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
                throw new InputFormatException("line " + lineNumber + ": unknown event '" + line.type() + "'");
        }
    }

    private Runnable directoryUpdate(InputLine line, SessionControl control) {
        ListKind kind = enumValue(line, "how", LIST_KINDS);
        line.text("gen");
        String slot = line.text("slot");
        List<Server> list = kind == ListKind.FAILED ? List.of() : serverList(line, slot);
        return () -> control.servers(now, kind, list);
    }

    private List<Server> serverList(InputLine line, String slot) {
        List<Server> servers = slot.matches("\\d{1,9}") ? serverLists.get(Integer.parseInt(slot)) : null;
        if (servers == null) {
            throw line.fault("slot", "names a server list that was not sent: '" + slot + "'");
        }
        return servers;
    }

    private Runnable returned(InputLine line, Front front) {
        String id = line.text("corr");
        boolean closed = line.bool("no_more");
        line.number("wait_time");
        Outcome outcome = enumValue(line, "code", OUTCOMES);
        line.integer("try");
        String server = line.textOrNull("server");
        Load load = load(line, front.reportNames());
        return () -> front.control().ended(now, id, closed, outcome, server, load);
    }

    private Runnable progress(InputLine line, SessionControl control) {
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

    private Request request(InputLine line) {
        String id = line.text("corr");
        String className = line.text("category");
        String tenant = line.textOrNull("org");
        String key = line.textOrNull("key");
        String title = line.textOrNull("programme");
        double leftMs = line.number("remaining");
        line.numberOrNaN("cost");
        int home = line.integer("base");
        int copies = line.integer("span");
        int top = line.integer("top");
        int marks = line.integer("marks");
        return new Request(
                id,
                className,
                tenant,
                key,
                title,
                leftMs,
                home,
                copies,
                top,
                (marks & MOVED_MARK) != 0,
                (marks & (MOVED_MARK | RETURNING_MARK)) != 0);
    }

    private Load load(InputLine line, List<String> names) {
        String usage = line.textOrNull("usage");
        if (usage == null) {
            return null;
        }
        List<Double> values = new ArrayList<>();
        for (String item : usage.split(",", -1)) {
            try {
                values.add(Double.parseDouble(item));
            } catch (NumberFormatException e) {
                throw line.fault("usage", "has a value that is not a number: '" + item + "'");
            }
        }
        return SettingsReader.load(names, values);
    }

    private <T> T enumValue(InputLine line, String field, Map<String, T> words) {
        String word = line.text(field);
        T value = words.get(word);
        if (value == null) {
            throw line.fault(field, "has an unknown value: '" + word + "'");
        }
        return value;
    }

    private void readServerList(InputLine line) throws IOException {
        int slot = line.integer("slot");
        long count = line.wholeNumber("members", 0, 10_000_000);
        line.expectEnd();
        List<Server> servers = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            InputLine entry = readBatchLine();
            if (!entry.type().equals("ENTRY")) {
                throw new InputFormatException("line " + lineNumber + ": expected ENTRY, got '" + entry.type() + "'");
            }
            String id = entry.text("server");
            String zone = entry.textOrNull("rack_zone");
            String kind = entry.textOrNull("family_type");
            int cell = entry.integer("position");
            ServerState state = enumValue(
                    entry, "phase", Map.of("U", ServerState.READY, "L", ServerState.DRAINING, "D", ServerState.GONE));
            double weight = entry.numberOrNaN("power_hint");
            double startedAt = entry.numberOrNaN("last_start");
            entry.expectEnd();
            servers.add(new Server(id, zone, kind, cell, state, weight, startedAt == 0 ? Double.NaN : startedAt));
        }
        serverLists.put(slot, servers);
    }

    private void writeAction(String action, int instance, Object... fields) {
        reply.append(action).append('\t').append(instance);
        for (Object field : fields) {
            reply.append('\t').append(field);
        }
        reply.append('\n');
    }

    /** Appends the actions of one instance to the reply of the current batch. */
    private final class WireActions implements SessionControl.Actions {
        private final int instance;

        WireActions(int instance) {
            this.instance = instance;
        }

        @Override
        public void send(String request, double until, String server) {
            writeAction("PASS_ON", instance, request, until, server);
        }

        @Override
        public void rate(String request, int rung) {
            writeAction("PITCH", instance, request, rung);
        }

        @Override
        public void move(String request) {
            writeAction("REBALANCE", instance, request);
        }

        @Override
        public void refuse(String request, double retryAfterMs) {
            writeAction("REJECT", instance, request, retryAfterMs);
        }

        @Override
        public void fail(String request) {
            writeAction("END_FAILED", instance, request);
        }

        @Override
        public void timer(String token, double delayMs) {
            writeAction("NOTIFY_ME", instance, token, delayMs);
        }

        @Override
        public void log(String text) {
            writeAction("SAY_LOG", instance, text);
        }
    }
}
