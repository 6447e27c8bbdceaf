package spanrill.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Evaluates the six rules on the records of a run. */
public final class RuleChecker {
    private static final List<Rule> RULES = List.of(
            new SingleAnswerRule(),
            new PaidOnceRule(),
            new OneActiveAttemptRule(),
            new DrainRule(),
            new PlacementLimitsRule(),
            new AttemptBudgetRule());

    private RuleChecker() {}

    /**
     * Evaluates all rules, in the order of their numbers.
     *
     * @throws IllegalArgumentException when the records have no run parameters, or name a class that the run parameters
     *     do not have
     */
    public static List<Verdict> evaluate(List<TraceEvent> records) {
        List<TraceEvent> events = new ArrayList<>(records);
        events.sort(Comparator.comparingDouble(TraceEvent::t));
        TraceEvent.RunParameters parameters = null;
        for (TraceEvent event : events) {
            if (event instanceof TraceEvent.RunParameters found) {
                parameters = found;
            }
        }
        if (parameters == null || parameters.classes() == null) {
            throw new IllegalArgumentException(
                    "the records contain no record of kind facts: the file is truncated or another program wrote it");
        }
        for (TraceEvent event : events) {
            String serviceClass = event instanceof TraceEvent.Request request
                    ? request.cls()
                    : event instanceof TraceEvent.SetUp setUp ? setUp.cls() : null;
            if (serviceClass != null && !parameters.classes().containsKey(serviceClass)) {
                throw new IllegalArgumentException("the record of kind facts has no class " + serviceClass);
            }
        }
        AttemptIndex attempts = new AttemptIndex(events);
        List<Verdict> verdicts = new ArrayList<>();
        for (Rule rule : RULES) {
            verdicts.add(rule.evaluate(parameters, events, attempts));
        }
        return verdicts;
    }
}
