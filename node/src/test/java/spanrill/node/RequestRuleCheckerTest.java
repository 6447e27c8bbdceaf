package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/** Tests that the rule checker of the other tests reports each kind of violation. */
class RequestRuleCheckerTest {
    private final RequestRuleChecker checker = new RequestRuleChecker();

    private static Message answer(long id, String description) {
        return new Message(MessageType.ANSWER, id).with(Parameter.DESCRIPTION, description);
    }

    @Test
    void reportsASecondAnswerAndADescriptionThatNoServerIssued() {
        checker.requestSent(1, "free");
        checker.descriptionIssued(1, "d".getBytes(java.nio.charset.StandardCharsets.UTF_8));
        checker.receivedByViewer(answer(1, "d"));
        assertEquals(List.of(), checker.violations(1));
        checker.receivedByViewer(answer(1, "d"));
        assertEquals(List.of("second final answer: 1", "no answer: 2"), checker.violations(1, 2));
        checker.receivedByViewer(answer(3, "x"));
        assertEquals(
                "answer with a description that no server issued: 3",
                checker.violations().get(1));
    }

    @Test
    void reportsAPaidSetUpSentAgainOrRefusedWithoutProof() {
        checker.requestSent(1, "paid");
        checker.receivedByServer("s-1", new Message(MessageType.SET_UP, 1));
        checker.receivedByServer("s-2", new Message(MessageType.SET_UP, 1));
        assertEquals(List.of("paid set-up sent again without proof: 1"), checker.violations());
        checker.requestSent(2, "paid");
        checker.receivedByServer("s-1", new Message(MessageType.SET_UP, 2));
        checker.nonExecutionProved(2);
        checker.receivedByServer("s-2", new Message(MessageType.SET_UP, 2));
        assertEquals(1, checker.violations().size(), "a set-up may be sent again after proof");
        checker.receivedByViewer(new Message(MessageType.RELEASE, 2).withCause(42));
        assertEquals(
                "paid set-up refused without proof: 2", checker.violations().get(1));
    }
}
