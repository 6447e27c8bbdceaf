/**
 * The six rules, judged from records taken at the sockets of viewers, boxes and the registry, never from what
 * a front believes. One class a rule; {@link spanrill.check.Checker} runs them over the records of a run.
 */
package spanrill.check;
