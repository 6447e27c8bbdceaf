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

/** Sends random but legal events to the module and checks that its actions keep the rules. */
class HostileEventsTest {

    /** State of a request as the test tracks it. */
    private static final class RequestState {
        private boolean paid;
        private boolean settingUp;
        private boolean playing;
        private boolean mayHaveRun;
        private int attempts;
        private int answers;
        private boolean ended;
        private double attemptDeadline;
        private String server;
    }

    private final Map<String, RequestState> requests = new HashMap<>();
    private final boolean[] serverReady = {true, true, true, true};
    private ScriptedFront front;
    private int checkedActions;

    /** Checks each action since the last call against the rules. */
    private void checkNewActions() {
        int sendCount = 0;
        for (String line : front.actions.subList(0, checkedActions)) {
            sendCount += line.startsWith("send ") ? 1 : 0;
        }
        for (; checkedActions < front.actions.size(); checkedActions++) {
            String[] parts = front.actions.get(checkedActions).split(" ");
            RequestState request = requests.get(parts[1]);
            switch (parts[0]) {
                case "send" -> {
                    assertFalse(request.settingUp || request.playing || request.ended, "second send: " + parts[1]);
                    assertFalse(request.paid && request.mayHaveRun, "paid session sent again: " + parts[1]);
                    assertTrue(serverReady[parts[2].charAt(1) - '0'], "sent to a closed server: " + parts[2]);
                    assertTrue(++request.attempts <= 3, "too many attempts: " + parts[1]);
                    request.settingUp = true;
                    request.server = parts[2];
                    request.attemptDeadline = front.attemptDeadlines.get(sendCount++);
                }
                case "refuse", "fail" -> {
                    assertFalse(parts[0].equals("refuse") && request.paid && request.mayHaveRun);
                    assertFalse(
                            request.settingUp || request.playing,
                            "answered during a set-up or while playing: " + parts[1]);
                    request.answers++;
                    request.ended = true;
                }
                case "rate" ->
                    assertTrue(Integer.parseInt(parts[2]) >= (request.paid ? 1 : 0) && Integer.parseInt(parts[2]) <= 4);
                case "move" -> assertTrue(request.playing, "moved while not playing: " + parts[1]);
                default -> {}
            }
        }
        long paidSessions = requests.values().stream()
                .filter(state -> state.paid && (state.settingUp || state.playing))
                .count();
        assertTrue(paidSessions <= 2, "paid sessions above the seats: " + paidSessions);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void actionsKeepTheRulesUnderRandomEvents(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        front = ScriptedFront.warm();
        Outcome[] outcomes = Outcome.values();
        for (int step = 0; step < 1500; step++) {
            front.run(random.nextInt(400));
            checkNewActions();
            List<String> activeIds = new ArrayList<>();
            for (int i = 0; i < step; i++) {
                if (requests.containsKey("r" + i) && !requests.get("r" + i).ended) {
                    activeIds.add("r" + i);
                }
            }
            int eventKind = random.nextInt(10);
            if (eventKind < 3) {
                RequestState request = new RequestState();
                request.paid = random.nextInt(3) == 0;
                requests.put("r" + step, request);
                front.control.request(
                        front.now,
                        front.newRequest("r" + step, request.paid ? "paid" : "free", 500 + random.nextInt(2500)));
            } else if (eventKind == 3) {
                int cell = random.nextInt(4);
                ServerState state = ServerState.values()[random.nextInt(3)];
                serverReady[cell] = state == ServerState.READY;
                front.list(ListKind.CHANGES, state, random.nextInt(2) == 0 ? Double.NaN : front.now, cell);
            } else if (eventKind == 4) {
                front.control.ended(
                        front.now,
                        "r" + random.nextInt(2000) + "x",
                        false,
                        outcomes[random.nextInt(outcomes.length)],
                        "s" + random.nextInt(4),
                        null);
            } else if (!activeIds.isEmpty()) {
                String id = activeIds.get(random.nextInt(activeIds.size()));
                RequestState request = requests.get(id);
                if (request.playing && eventKind < 8) {
                    NoteKind kind = NoteKind.values()[new int[] {0, 2, 3}[random.nextInt(3)]];
                    front.control.note(front.now, id, request.server, kind, random.nextDouble() * 1.4);
                } else if (request.playing) {
                    request.playing = false;
                    request.ended = true;
                    Outcome endOutcome = random.nextBoolean() ? Outcome.OK : Outcome.RESET;
                    front.control.ended(
                            front.now,
                            id,
                            true,
                            endOutcome,
                            request.server,
                            new Load(Double.NaN, random.nextDouble() * 1.3, Double.NaN));
                } else if (request.settingUp && random.nextBoolean()) {
                    request.settingUp = false;
                    request.playing = true;
                    request.answers++;
                    front.control.playing(front.now, id, request.server, 80);
                } else if (request.settingUp) {
                    request.settingUp = false;
                    Outcome outcome = outcomes[1 + random.nextInt(outcomes.length - 1)];
                    request.mayHaveRun |= !outcome.neverRan();
                    front.control.ended(front.now, id, false, outcome, request.server, null);
                }
            }
            checkNewActions();
        }
        front.run(5000);
        checkNewActions();
        for (Map.Entry<String, RequestState> entry : requests.entrySet()) {
            RequestState request = entry.getValue();
            assertEquals(request.settingUp ? 0 : 1, request.answers, "answers to " + entry.getKey());
        }
    }
}
