package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/** The judge of the other tests catches what it is there for. */
class RequestRuleCheckerTest {
    private final RequestRuleChecker judge = new RequestRuleChecker();

    private static Message answer(long id, String description) {
        return new Message(MessageType.ANSWER, id).with(Parameter.DESCRIPTION, description);
    }

    @Test
    void catchesASecondAnswerAndOneThatNoServerMade() {
        judge.requestSent(1, "free");
        judge.descriptionIssued(1, "d".getBytes(java.nio.charset.StandardCharsets.UTF_8));
        judge.receivedByViewer(answer(1, "d"));
        assertEquals(List.of(), judge.violations(1));
        judge.receivedByViewer(answer(1, "d"));
        assertEquals(List.of("a second answer: 1", "no answer: 2"), judge.violations(1, 2));
        judge.receivedByViewer(answer(3, "x"));
        assertEquals("served with what no server made: 3", judge.violations().get(1));
    }

    @Test
    void catchesAPaidSetUpSentAgainOrRefusedWithoutProof() {
        judge.requestSent(1, "paid");
        judge.receivedByServer("s-1", new Message(MessageType.SET_UP, 1));
        judge.receivedByServer("s-2", new Message(MessageType.SET_UP, 1));
        assertEquals(List.of("paid set-up sent again without proof: 1"), judge.violations());
        judge.requestSent(2, "paid");
        judge.receivedByServer("s-1", new Message(MessageType.SET_UP, 2));
        judge.nonExecutionProved(2);
        judge.receivedByServer("s-2", new Message(MessageType.SET_UP, 2));
        assertEquals(1, judge.violations().size(), "proved: may be sent again");
        judge.receivedByViewer(new Message(MessageType.RELEASE, 2).withCause(42));
        assertEquals("paid set-up refused without proof: 2", judge.violations().get(1));
    }
}
