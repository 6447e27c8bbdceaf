package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/** The judge of the other tests catches what it is there for. */
class JudgeTest {
    private final Judge judge = new Judge();

    private static Message answer(long id, String description) {
        return new Message(MessageType.ANSWER, id).with(Parameter.DESCRIPTION, description);
    }

    @Test
    void catchesASecondAnswerAndOneThatNoServerMade() {
        judge.asked(1, "free");
        judge.made(1, "d".getBytes(java.nio.charset.StandardCharsets.UTF_8));
        judge.atViewer(answer(1, "d"));
        assertEquals(List.of(), judge.faults(1));
        judge.atViewer(answer(1, "d"));
        assertEquals(List.of("a second answer: 1", "no answer: 2"), judge.faults(1, 2));
        judge.atViewer(answer(3, "x"));
        assertEquals("served with what no server made: 3", judge.faults().get(1));
    }

    @Test
    void catchesAPaidSetUpSentAgainOrRefusedWithoutProof() {
        judge.asked(1, "paid");
        judge.atServer("s-1", new Message(MessageType.SET_UP, 1));
        judge.atServer("s-2", new Message(MessageType.SET_UP, 1));
        assertEquals(List.of("paid set-up sent again without proof: 1"), judge.faults());
        judge.asked(2, "paid");
        judge.atServer("s-1", new Message(MessageType.SET_UP, 2));
        judge.proved(2);
        judge.atServer("s-2", new Message(MessageType.SET_UP, 2));
        assertEquals(1, judge.faults().size(), "proved: may be sent again");
        judge.atViewer(new Message(MessageType.RELEASE, 2).withCause(42));
        assertEquals("paid set-up refused without proof: 2", judge.faults().get(1));
    }
}
