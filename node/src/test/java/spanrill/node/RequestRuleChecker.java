package spanrill.node;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/**
 * Checks the rules on requests by the messages that viewers and servers send and receive: each set-up gets one final
 * answer; a description in an answer was issued by a server; a paid set-up is sent again or refused only after a server
 * proved that the earlier attempt never ran.
 */
final class RequestRuleChecker {
    private static final List<Integer> REFUSALS = List.of(34, 42, 102);

    private final Map<Long, String> classNames = new HashMap<>();
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final Map<Long, Integer> nonExecutionProofs = new HashMap<>();
    private final Map<Long, Integer> finalAnswers = new HashMap<>();
    private final Map<Long, List<byte[]>> descriptions = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    /** Records that a viewer sent a set-up. */
    synchronized void requestSent(long session, String className) {
        classNames.put(session, className);
    }

    /** Records that a server answered a set-up with this description. */
    synchronized void descriptionIssued(long session, byte[] description) {
        descriptions.computeIfAbsent(session, s -> new ArrayList<>()).add(description);
    }

    /** Records that a server proved that an attempt never ran. */
    synchronized void nonExecutionProved(long session) {
        nonExecutionProofs.merge(session, 1, Integer::sum);
    }

    /** Checks a message that a server received. */
    synchronized void receivedByServer(String server, Message message) {
        long id = message.session();
        if (message.type() != MessageType.SET_UP) {
            return;
        }
        int earlierAttempts = attempts.merge(id, 1, Integer::sum) - 1;
        if (!classNames.containsKey(id)) {
            violations.add("set-up that no viewer sent: " + id);
        } else if (classNames.get(id).equals("paid") && earlierAttempts > nonExecutionProofs.getOrDefault(id, 0)) {
            violations.add("paid set-up sent again without proof: " + id);
        }
    }

    /** Checks a message that a viewer received. */
    synchronized void receivedByViewer(Message message) {
        long id = message.session();
        boolean accepted = message.type() == MessageType.ANSWER;
        if (!accepted
                && (message.type() != MessageType.RELEASE
                        || finalAnswers.getOrDefault(id, 0) > 0 && hasDescription(id))) {
            return;
        }
        if (finalAnswers.merge(id, 1, Integer::sum) > 1) {
            violations.add("second final answer: " + id);
        }
        byte[] receivedDescription = message.get(Parameter.DESCRIPTION);
        if (accepted
                && descriptions.getOrDefault(id, List.of()).stream()
                        .noneMatch(d -> Arrays.equals(d, receivedDescription))) {
            violations.add("answer with a description that no server issued: " + id);
        }
        if (!accepted
                && REFUSALS.contains(message.cause())
                && "paid".equals(classNames.get(id))
                && attempts.getOrDefault(id, 0) > nonExecutionProofs.getOrDefault(id, 0)) {
            violations.add("paid set-up refused without proof: " + id);
        }
    }

    private boolean hasDescription(long id) {
        return descriptions.containsKey(id);
    }

    /** Returns all violations so far, including a missing answer for each of the given session ids. */
    synchronized List<String> violations(long... expectedIds) {
        List<String> result = new ArrayList<>(violations);
        for (long id : expectedIds) {
            if (!finalAnswers.containsKey(id)) {
                result.add("no answer: " + id);
            }
        }
        return result;
    }
}
