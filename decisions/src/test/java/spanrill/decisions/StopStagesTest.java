package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import spanrill.decisions.StopStages.Step;
import spanrill.decisions.StopStages.View;

class StopStagesTest {
    private static final View NOTHING = new View(0, 0, false, 1000);
    private final StopStages stages = new StopStages(1000);

    @Test
    void servesWhileRequestsMayComeThenEndsWhenNothingIsOwed() {
        assertEquals(Step.SERVE, stages.look(0, NOTHING));
        assertEquals(Step.SERVE, stages.look(700, NOTHING), "what comes by then must be answered");
        assertEquals(Step.CLOSE_LISTENER, stages.look(900, NOTHING));
        assertEquals(Step.END, stages.look(920, NOTHING));
    }

    @Test
    void waitsForAnswersReleasesUnsentBytesAndWhatMayLieUnread() {
        stages.look(900, NOTHING);
        assertEquals(Step.FINISH, stages.look(920, new View(1, 0, false, 1000)));
        assertEquals(Step.FINISH, stages.look(3000, new View(1, 0, false, 1000)));
        assertEquals(Step.FINISH, stages.look(3020, new View(0, 1, false, 1000)));
        assertEquals(Step.FINISH, stages.look(3040, new View(0, 0, true, 1000)));
        assertEquals(Step.FINISH, stages.look(3060, new View(0, 0, false, 10)));
        assertEquals(Step.END, stages.look(3080, NOTHING));
    }

    /** Killed at 3.7 s: the last 0.2 s are for answers that nothing else has given. */
    @Test
    void answersWhatIsStillOwedBeforeTheKillAndLetsItGoOut() {
        stages.look(900, NOTHING);
        assertEquals(Step.FINISH, stages.look(3480, new View(1, 0, false, 0)));
        assertEquals(Step.ANSWER_ALL, stages.look(3500, new View(1, 1, false, 0)));
        assertEquals(Step.FINISH, stages.look(3520, new View(0, 1, true, 0)));
        assertEquals(Step.END, stages.look(3540, new View(0, 1, false, 0)), "no time for releases");
    }

    @Test
    void endsBeforeTheKillWhateverIsOwed() {
        stages.look(900, NOTHING);
        assertEquals(Step.END, stages.look(3650, new View(3, 3, true, 0)));
    }

    /** A request taken 0.7 s after the stop may wait for the whole of a long deadline. */
    @Test
    void aLongDeadlineIsWaitedFor() {
        StopStages longer = new StopStages(8000);
        longer.look(900, NOTHING);
        assertEquals(Step.FINISH, longer.look(8400, new View(1, 0, false, 0)));
        assertEquals(Step.ANSWER_ALL, longer.look(8500, new View(1, 0, false, 0)));
        assertEquals(Step.END, longer.look(8650, new View(1, 0, false, 0)));
    }
}
