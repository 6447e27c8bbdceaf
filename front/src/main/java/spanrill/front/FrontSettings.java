package spanrill.front;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spanrill.SessionControl;
import spanrill.decisions.AnswerDeadline;
import spanrill.session.CoreSettings;
import spanrill.session.SessionType;
import spanrill.settings.Default;
import spanrill.settings.Range;

/**
 * The settings of one front; the schema of its file.
 *
 * @param me number of this front, from 0
 * @param fronts how many fronts there are
 * @param zone hall of this front
 * @param seed seed of the module's and the front's own draws
 * @param listen where viewers come
 * @param registry where the list of boxes is had
 * @param keys file with the JWK set that tokens are verified by
 * @param state folder for what is kept over a restart
 * @param classes classes of session
 * @param tenants tenants, may be none
 * @param kinds kinds of box
 * @param ladder rates
 * @param fleet the fleet as a whole
 * @param notes how boxes tell of themselves
 * @param rules figures of the rules
 * @param limits bounds of this process
 * @param web players in pages
 */
public record FrontSettings(
        @Range(min = 0, max = 100_000) int me,
        @Range(min = 1, max = 100_000) int fronts,
        @Range(min = 1, max = 64) String zone,
        @Default("1") long seed,
        Address listen,
        Address registry,
        @Range(min = 1) String keys,
        @Range(min = 1) String state,
        @Range(min = 1, max = 64) Map<String, ClassSettings> classes,
        @Default("{}") Map<String, TenantSettings> tenants,
        @Range(min = 1, max = 64) Map<String, KindSettings> kinds,
        Ladder ladder,
        Fleet fleet,
        Notes notes,
        Rules rules,
        @Default("{}") Limits limits,
        @Default("{}") Web web) {

    /**
     * An address.
     *
     * @param host loopback or other address
     * @param port port; 0 for listening on one that the system picks
     */
    public record Address(
            @Default("\"127.0.0.1\"") @Range(min = 1, max = 255)
            String host,

            @Range(min = 0, max = 65_535) int port) {}

    /**
     * A class of session.
     *
     * @param aimMs wanted playing within this time
     * @param patienceMs given up by the viewer after this time
     * @param worth worth of a second at a rung of worth 1
     * @param once paid for at set-up
     * @param floor lowest rung
     * @param top highest rung
     * @param scale its rates over the ladder's
     * @param seats sessions of one title that this front may hold; 0: no cap
     */
    public record ClassSettings(
            @Range(min = 1, max = 600_000) double aimMs,
            @Range(min = 100, max = 600_000) double patienceMs,
            @Range(min = 0, max = 1e6) double worth,
            @Default("false") boolean once,
            @Default("0") @Range(min = 0, max = 63) int floor,
            @Default("63") @Range(min = 0, max = 63) int top,
            @Default("1") @Range(min = 0.001, max = 1000) double scale,
            @Default("0") @Range(min = 0, max = 1e6) int seats) {}

    /**
     * A tenant.
     *
     * @param share its share of the service
     * @param quotaPerS new sessions a second over all fronts; null: not limited
     */
    public record TenantSettings(
            @Range(min = 0, max = 1) double share,
            @Default("null") @Range(min = 0) Double quotaPerS) {}

    /**
     * A kind of box.
     *
     * @param places streams that it runs at most
     */
    public record KindSettings(@Range(min = 1, max = 1e6) double places) {}

    /**
     * The ladder of rates.
     *
     * @param kb rate of each rung, kB a second
     * @param worth what each rung earns
     */
    public record Ladder(
            @Range(min = 1, max = 64) List<Double> kb,
            @Range(min = 1, max = 64) List<Double> worth) {
        /** Checks that both fit. */
        public Ladder {
            if (kb.size() != worth.size()) {
                throw new IllegalArgumentException("kb and worth must have the same length");
            }
            for (int i = 0; i < kb.size(); i++) {
                if (!(kb.get(i) > (i == 0 ? 0 : kb.get(i - 1)))) {
                    throw new IllegalArgumentException("kb must rise");
                }
            }
        }
    }

    /**
     * The fleet as a whole.
     *
     * @param cells number of cells
     * @param racks number of racks; a box's rack is its cell mod this
     * @param linksKb all links together, kB a second
     * @param weightKb link of a box for each unit of its weight
     * @param uplinkKb mean uplink of a rack
     */
    public record Fleet(
            @Range(min = 1, max = 100_000) int cells,
            @Range(min = 1, max = 100_000) int racks,
            @Range(min = 1) double linksKb,
            @Range(min = 1e-6) double weightKb,
            @Range(min = 1) double uplinkKb) {}

    /**
     * What boxes tell.
     *
     * @param lateMs how late notes are
     * @param tellMs time between two notes of use; 0: none
     * @param stall points of worth lost for each point of the rate that is missing
     * @param changeCostMs what a change of rung costs, as time of the session's worth
     */
    public record Notes(
            @Range(min = 0, max = 600_000) double lateMs,
            @Range(min = 0, max = 600_000) double tellMs,
            @Range(min = 0, max = 1000) double stall,
            @Range(min = 0, max = 600_000) double changeCostMs) {}

    /**
     * Figures of the rules.
     *
     * @param maxAttempts attempts for one request
     * @param maxRetryAfterMs longest stay-away that viewers observe
     * @param crossZonePrice price of a session that crosses zones
     * @param overShareWorth worth of a session beyond its tenant's share
     * @param drainGraceMs nothing new so long after a drain was heard
     * @param coldMs a box is warm after this time
     * @param coldShare it starts at this share
     * @param fallMultiple sent more than this multiple of its pace
     * @param fallMs for this long, a cold box falls over
     * @param spareAttempts further attempts however low the traffic; null: free
     * @param attemptShare further attempts for each request
     * @param attemptWindowMs both counted over this
     */
    public record Rules(
            @Range(min = 1, max = 20) int maxAttempts,
            @Range(min = 0) double maxRetryAfterMs,
            @Default("0") @Range(min = 0) double crossZonePrice,
            @Default("1") @Range(min = 0, max = 1) double overShareWorth,
            @Default("250") @Range(min = 0) double drainGraceMs,
            @Range(min = 0) double coldMs,
            @Range(min = 0.001, max = 1) double coldShare,
            @Range(min = 0.1) double fallMultiple,
            @Range(min = 1) double fallMs,
            @Default("null") Double spareAttempts,
            @Default("null") Double attemptShare,
            @Default("null") Double attemptWindowMs) {}

    /**
     * Bounds of this process.
     *
     * @param answerMarginMs answers are given so long before the viewer's patience ends
     * @param connections viewers' connections
     * @param boxConnections connections to one box
     * @param boxWaiting segments that wait for a connection to one box
     * @param connectMs time for a connection to a box
     * @param idleMs a session whose player says nothing for so long is over
     * @param requestMs a request's head and body must come within
     * @param moveReturnMs a moved session waits at most so long for its old box's word
     * @param settleMs a box is given so long to say whether a paid set-up whose answer was lost ran
     * @param sameMs a token that comes again so soon after its refusal is the same request
     * @param tokens token ids remembered
     * @param tokenThreads threads that verify tokens
     * @param tokenWaiting tokens that may wait for them
     * @param boxes boxes held
     */
    public record Limits(
            @Default("150") @Range(min = 1, max = 60_000) double answerMarginMs,

            @Default("20000") @Range(min = 1, max = 1_000_000)
            int connections,

            @Default("256") @Range(min = 4, max = 65_000) int boxConnections,
            @Default("256") @Range(min = 0, max = 65_000) int boxWaiting,
            @Default("250") @Range(min = 1, max = 60_000) int connectMs,
            @Default("8000") @Range(min = 100) double idleMs,
            @Default("5000") @Range(min = 100) long requestMs,
            @Default("250") @Range(min = 1, max = 60_000) double moveReturnMs,
            @Default("300") @Range(min = 1, max = 60_000) double settleMs,
            @Default("250") @Range(min = 0, max = 60_000) double sameMs,

            @Default("200000") @Range(min = 1, max = 100_000_000)
            int tokens,

            @Default("2") @Range(min = 1, max = 64) int tokenThreads,

            @Default("2000") @Range(min = 1, max = 1_000_000)
            int tokenWaiting,

            @Default("2000") @Range(min = 1, max = 1_000_000)
            int boxes) {}

    /**
     * Players in pages.
     *
     * @param origins origins that may use this front (Fetch standard, CORS protocol); "*" for all
     */
    public record Web(@Default("[]") @Range(max = 1000) List<String> origins) {}

    /** Checks what fields must be to each other. */
    public FrontSettings {
        if (me >= fronts) {
            throw new IllegalArgumentException("me must be below fronts");
        }
        classes.forEach((name, c) -> {
            if (c.floor() >= ladder.kb().size()) {
                throw new IllegalArgumentException("classes." + name + ".floor is above the ladder");
            }
            if (c.patienceMs() <= limits.answerMarginMs()) {
                throw new IllegalArgumentException(
                        "classes." + name + ".patienceMs must be above limits.answerMarginMs");
            }
        });
    }

    /** What the module starts with. */
    public SessionControl.Settings moduleSettings() {
        List<SessionControl.ServiceClass> types = new ArrayList<>();
        int highest = ladder.kb().size() - 1;
        classes.forEach((name, c) -> types.add(new SessionControl.ServiceClass(
                name, c.aimMs(), c.worth(), c.once(), c.floor(), Math.min(c.top(), highest), c.scale(), c.seats())));
        List<SessionControl.Tenant> tenantList = new ArrayList<>();
        tenants.forEach((name, t) -> tenantList.add(new SessionControl.Tenant(name, t.share(), orNaN(t.quotaPerS()))));
        List<SessionControl.Kind> kindList = new ArrayList<>();
        kinds.forEach((name, k) -> kindList.add(new SessionControl.Kind(name, k.places())));
        return new SessionControl.Settings(
                me,
                fronts,
                zone,
                types,
                tenantList,
                kindList,
                ladder.kb(),
                ladder.worth(),
                fleet.cells(),
                fleet.racks(),
                fleet.linksKb(),
                fleet.weightKb(),
                fleet.uplinkKb(),
                notes.stall(),
                notes.changeCostMs(),
                notes.lateMs(),
                notes.tellMs(),
                rules.maxAttempts(),
                rules.maxRetryAfterMs(),
                rules.crossZonePrice(),
                rules.overShareWorth(),
                new SessionControl.Rules(
                        rules.coldMs(),
                        rules.coldShare(),
                        rules.fallMultiple(),
                        rules.fallMs(),
                        orNaN(rules.spareAttempts()),
                        orNaN(rules.attemptShare()),
                        orNaN(rules.attemptWindowMs())));
    }

    /** What the core starts with. */
    public CoreSettings coreSettings() {
        Map<String, SessionType> types = new HashMap<>();
        classes.forEach((name, c) -> types.put(
                name,
                new SessionType(
                        c.once(), c.floor(), c.scale(), new AnswerDeadline(c.patienceMs(), limits.answerMarginMs()))));
        return new CoreSettings(
                moduleSettings(),
                seed,
                Map.copyOf(types),
                limits.idleMs(),
                limits.moveReturnMs(),
                limits.sameMs(),
                limits.tokens(),
                rules.maxRetryAfterMs());
    }

    private static double orNaN(Double value) {
        return value == null ? Double.NaN : value;
    }
}
