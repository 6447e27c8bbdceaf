package spanrill.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Runs the six rules over the records of a run. */
public final class Checker {
    private static final List<Rule> RULES = List.of(
            new AnswersRule(), new OnceRule(), new OneOutRule(), new DrainRule(), new TermsRule(), new BudgetRule());

    private Checker() {}

    /**
     * Judges.
     *
     * @throws IllegalArgumentException when the records lack the facts that rules are measured by, or
     * speak of
     *     a class that the facts don't know
     */
    public static List<Verdict> judge(List<TapEvent> records) {
        List<TapEvent> events = new ArrayList<>(records);
        events.sort(Comparator.comparingDouble(TapEvent::t));
        TapEvent.Facts facts = null;
        for (TapEvent event : events) {
            if (event instanceof TapEvent.Facts found) {
                facts = found;
            }
        }
        if (facts == null || facts.classes() == null) {
            throw new IllegalArgumentException("the records have no facts: they are cut, or of another program");
        }
        for (TapEvent event : events) {
            String cls = event instanceof TapEvent.Ask ask
                    ? ask.cls()
                    : event instanceof TapEvent.SetUp setUp ? setUp.cls() : null;
            if (cls != null && !facts.classes().containsKey(cls)) {
                throw new IllegalArgumentException("the facts know no class " + cls);
            }
        }
        Attempts attempts = new Attempts(events);
        List<Verdict> verdicts = new ArrayList<>();
        for (Rule rule : RULES) {
            verdicts.add(rule.judge(facts, events, attempts));
        }
        return verdicts;
    }
}
