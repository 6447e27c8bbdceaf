package spanrill.session;

import spanrill.decisions.AnswerDeadline;

/**
 * A class of session, as the core and the viewer sides need it.
 *
 * @param once paid for at set-up: set up once at most
 * @param floor lowest rung
 * @param scale its rates over the ladder's
 * @param answerTime when its answers are due
 */
public record SessionType(boolean once, int floor, double scale, AnswerDeadline answerTime) {}
