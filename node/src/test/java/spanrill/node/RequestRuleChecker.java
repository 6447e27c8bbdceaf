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
 * Judges the rules on requests from what crossed the sockets: one answer to each set-up, made by a server
 * where it says that the session stands; a paid set-up sent again or refused only on a server's proof.
 */
final class RequestRuleChecker {
    private static final List<Integer> REFUSALS = List.of(34, 42, 102);

    private final Map<Long, String> classes = new HashMap<>();
    private final Map<Long, Integer> sent = new HashMap<>();
    private final Map<Long, Integer> proofs = new HashMap<>();
    private final Map<Long, Integer> answers = new HashMap<>();
    private final Map<Long, List<byte[]>> made = new HashMap<>();
    private final List<String> faults = new ArrayList<>();

    /** A viewer sent a set-up. */
    synchronized void requestSent(long session, String className) {
        classes.put(session, className);
    }

    /** A server made a description. */
    synchronized void descriptionIssued(long session, byte[] description) {
        made.computeIfAbsent(session, s -> new ArrayList<>()).add(description);
    }

    /** A server proved that an attempt never ran. */
    synchronized void nonExecutionProved(long session) {
        proofs.merge(session, 1, Integer::sum);
    }

    synchronized void receivedByServer(String server, Message message) {
        long id = message.session();
        if (message.type() != MessageType.SET_UP) {
            return;
        }
        int before = sent.merge(id, 1, Integer::sum) - 1;
        if (!classes.containsKey(id)) {
            faults.add("a set-up that no viewer sent: " + id);
        } else if (classes.get(id).equals("paid") && before > proofs.getOrDefault(id, 0)) {
            faults.add("paid set-up sent again without proof: " + id);
        }
    }

    synchronized void receivedByViewer(Message message) {
        long id = message.session();
        boolean stands = message.type() == MessageType.ANSWER;
        if (!stands && (message.type() != MessageType.RELEASE || answers.getOrDefault(id, 0) > 0 && madeFor(id))) {
            return;
        }
        if (answers.merge(id, 1, Integer::sum) > 1) {
            faults.add("a second answer: " + id);
        }
        byte[] told = message.get(Parameter.DESCRIPTION);
        if (stands && made.getOrDefault(id, List.of()).stream().noneMatch(d -> Arrays.equals(d, told))) {
            faults.add("served with what no server made: " + id);
        }
        if (!stands
                && REFUSALS.contains(message.cause())
                && "paid".equals(classes.get(id))
                && sent.getOrDefault(id, 0) > proofs.getOrDefault(id, 0)) {
            faults.add("paid set-up refused without proof: " + id);
        }
    }

    private boolean madeFor(long id) {
        return made.containsKey(id);
    }

    /** All that was broken, with the set-ups of these ids that were never answered. */
    synchronized List<String> violations(long... owed) {
        List<String> all = new ArrayList<>(faults);
        for (long id : owed) {
            if (!answers.containsKey(id)) {
                all.add("no answer: " + id);
            }
        }
        return all;
    }
}
