package spanrill.session;

import java.util.Map;
import spanrill.SessionControl;

/**
 * Settings of a session core.
 *
 * @param module settings of the decision module
 * @param seed seed of the module's random draws
 * @param types classes of session by name
 * @param idleMs a session ends when its player shows no activity for this time
 * @param moveReturnMs longest time that a moved session waits for its old box to confirm the release
 * @param duplicateWindowMs a token received within this time after its refusal is a duplicate of the refused request
 * @param maxTokens maximum number of token ids that are remembered
 * @param maxRetryAfterMs longest retry delay that viewers observe
 */
public record CoreSettings(
        SessionControl.Settings module,
        long seed,
        Map<String, SessionType> types,
        double idleMs,
        double moveReturnMs,
        double duplicateWindowMs,
        int maxTokens,
        double maxRetryAfterMs) {}
