/**
 * The six rules, checked on records taken at the sockets of viewers, boxes and the registry, and never on the state
 * that a front holds. Each rule is one class; {@link spanrill.check.RuleChecker} evaluates all of them.
 */
package spanrill.check;
