package spanrill.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Runs the six rules over the records of a run. */
public final class RuleChecker {
    private static final List<Rule> RULES = List.of(
            new AnswersRule(), new OnceRule(), new OneOutRule(), new DrainRule(), new TermsRule(), new BudgetRule());

    private RuleChecker() {}

    /**
     * Judges.
     *
     * @throws IllegalArgumentException when the records lack the facts that rules are measured by, or
     * speak of
     *     a class that the facts don't know
     */
    public static List<Verdict> evaluate(List<TraceEvent> records) {
        List<TraceEvent> events = new ArrayList<>(records);
        events.sort(Comparator.comparingDouble(TraceEvent::t));
        TraceEvent.RunParameters facts = null;
        for (TraceEvent event : events) {
            if (event instanceof TraceEvent.RunParameters found) {
                facts = found;
            }
        }
        if (facts == null || facts.classes() == null) {
            throw new IllegalArgumentException("the records have no facts: they are cut, or of another program");
        }
        for (TraceEvent event : events) {
            String cls = event instanceof TraceEvent.Request ask
                    ? ask.cls()
                    : event instanceof TraceEvent.SetUp setUp ? setUp.cls() : null;
            if (cls != null && !facts.classes().containsKey(cls)) {
                throw new IllegalArgumentException("the facts know no class " + cls);
            }
        }
        Attempts attempts = new Attempts(events);
        List<Verdict> verdicts = new ArrayList<>();
        for (Rule rule : RULES) {
            verdicts.add(rule.evaluate(facts, events, attempts));
        }
        return verdicts;
    }
}
