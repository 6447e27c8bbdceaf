package spanrill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import spanrill.SessionControl.ListKind;
import spanrill.SessionControl.Load;
import spanrill.SessionControl.NoteKind;
import spanrill.SessionControl.Outcome;
import spanrill.SessionControl.ServerState;

/** Feeds the module legal but hostile events, drawn from a seed, and holds its actions to the rules. */
class HostileEventsTest {

    /** What the test knows of a request. */
    private static final class Seen {
        private boolean paid;
        private boolean out;
        private boolean playing;
        private boolean mayHaveRun;
        private int attempts;
        private int answers;
        private boolean over;
        private double until;
        private String server;
    }

    private final Map<String, Seen> seen = new HashMap<>();
    private final boolean[] open = {true, true, true, true};
    private ScriptedFront front;
    private int read;

    /** Reads the new actions and holds each to the rules. */
    private void check() {
        int sends = 0;
        for (String line : front.said.subList(0, read)) {
            sends += line.startsWith("send ") ? 1 : 0;
        }
        for (; read < front.said.size(); read++) {
            String[] parts = front.said.get(read).split(" ");
            Seen request = seen.get(parts[1]);
            switch (parts[0]) {
                case "send" -> {
                    assertFalse(request.out || request.playing || request.over, "second send: " + parts[1]);
                    assertFalse(request.paid && request.mayHaveRun, "paid session resent: " + parts[1]);
                    assertTrue(open[parts[2].charAt(1) - '0'], "sent to a closed server: " + parts[2]);
                    assertTrue(++request.attempts <= 3, "too many attempts: " + parts[1]);
                    request.out = true;
                    request.server = parts[2];
                    request.until = front.untils.get(sends++);
                }
                case "refuse", "fail" -> {
                    assertFalse(parts[0].equals("refuse") && request.paid && request.mayHaveRun);
                    assertFalse(request.out || request.playing, "answered while out: " + parts[1]);
                    request.answers++;
                    request.over = true;
                }
                case "rate" ->
                    assertTrue(Integer.parseInt(parts[2]) >= (request.paid ? 1 : 0) && Integer.parseInt(parts[2]) <= 4);
                case "move" -> assertTrue(request.playing, "moved while not playing: " + parts[1]);
                default -> {}
            }
        }
        long paid = seen.values().stream()
                .filter(s -> s.paid && (s.out || s.playing))
                .count();
        assertTrue(paid <= 2, "seats: " + paid);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void theRulesAreKeptWhateverComes(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        front = ScriptedFront.warm();
        Outcome[] outcomes = Outcome.values();
        for (int step = 0; step < 1500; step++) {
            front.run(random.nextInt(400));
            check();
            List<String> held = new ArrayList<>();
            for (int i = 0; i < step; i++) {
                if (seen.containsKey("r" + i) && !seen.get("r" + i).over) {
                    held.add("r" + i);
                }
            }
            int what = random.nextInt(10);
            if (what < 3) {
                Seen request = new Seen();
                request.paid = random.nextInt(3) == 0;
                seen.put("r" + step, request);
                front.control.request(
                        front.now,
                        front.request("r" + step, request.paid ? "paid" : "free", 500 + random.nextInt(2500)));
            } else if (what == 3) {
                int cell = random.nextInt(4);
                ServerState state = ServerState.values()[random.nextInt(3)];
                open[cell] = state == ServerState.READY;
                front.list(ListKind.CHANGES, state, random.nextInt(2) == 0 ? Double.NaN : front.now, cell);
            } else if (what == 4) {
                front.control.ended(
                        front.now,
                        "r" + random.nextInt(2000) + "x",
                        false,
                        outcomes[random.nextInt(outcomes.length)],
                        "s" + random.nextInt(4),
                        null);
            } else if (!held.isEmpty()) {
                String id = held.get(random.nextInt(held.size()));
                Seen request = seen.get(id);
                if (request.playing && what < 8) {
                    NoteKind kind = NoteKind.values()[new int[] {0, 2, 3}[random.nextInt(3)]];
                    front.control.note(front.now, id, request.server, kind, random.nextDouble() * 1.4);
                } else if (request.playing) {
                    request.playing = false;
                    request.over = true;
                    Outcome end = random.nextBoolean() ? Outcome.OK : Outcome.RESET;
                    front.control.ended(
                            front.now,
                            id,
                            true,
                            end,
                            request.server,
                            new Load(Double.NaN, random.nextDouble() * 1.3, Double.NaN));
                } else if (request.out && random.nextBoolean()) {
                    request.out = false;
                    request.playing = true;
                    request.answers++;
                    front.control.playing(front.now, id, request.server, 80);
                } else if (request.out) {
                    request.out = false;
                    Outcome outcome = outcomes[1 + random.nextInt(outcomes.length - 1)];
                    request.mayHaveRun |= !outcome.neverRan();
                    front.control.ended(front.now, id, false, outcome, request.server, null);
                }
            }
            check();
        }
        front.run(5000);
        check();
        for (Map.Entry<String, Seen> entry : seen.entrySet()) {
            Seen request = entry.getValue();
            assertEquals(request.out ? 0 : 1, request.answers, "answers to " + entry.getKey());
        }
    }
}
