package spanrill.session;

import java.util.Map;
import spanrill.SessionControl;

/**
 * What a core starts with.
 *
 * @param module settings of the module
 * @param seed seed of the module's draws
 * @param types classes of session by name
 * @param idleMs a session whose player says nothing for so long is over
 * @param moveReturnMs a moved session waits at most so long for its old box's word
 * @param sameMs a token that comes again so soon after its refusal is the same request
 * @param tokens token ids remembered
 * @param maxRetryAfterMs the longest stay-away that viewers observe
 */
public record CoreSettings(
        SessionControl.Settings module,
        long seed,
        Map<String, SessionType> types,
        double idleMs,
        double moveReturnMs,
        double sameMs,
        int tokens,
        double maxRetryAfterMs) {}
