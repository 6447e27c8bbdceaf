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
 * The settings of one front, and the schema of its settings file.
 *
 * @param me number of this front, from 0
 * @param fronts number of fronts
 * @param zone zone (hall) of this front
 * @param seed seed of the random numbers of the module and the front
 * @param listen address on which viewers are served
 * @param registry address of the registry, which serves the list of boxes
 * @param keys file with the JWK set that verifies tokens
 * @param state folder for data that is kept over a restart
 * @param classes classes of session by name
 * @param tenants tenants by name, may be empty
 * @param kinds kinds of box by name
 * @param ladder rungs and their rates
 * @param fleet the fleet as a whole
 * @param notes timing and cost of the reports of boxes
 * @param rules parameters of the placement rules
 * @param limits limits of this process
 * @param web settings for players in web pages
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
     * @param host host name or IP address
     * @param port TCP port; 0 listens on a free port that the system chooses
     */
    public record Address(
            @Default("\"127.0.0.1\"") @Range(min = 1, max = 255)
            String host,

            @Range(min = 0, max = 65_535) int port) {}

    /**
     * A class of session.
     *
     * @param aimMs target for the time until a session plays, ms
     * @param patienceMs time after which the viewer gives up, ms
     * @param worth worth of a second at a rung of worth 1
     * @param once true when a session is paid for at set-up, which may happen only once
     * @param floor lowest rung
     * @param top highest rung
     * @param scale factor of the class's rates relative to the ladder
     * @param seats maximum number of sessions of one title on this front; 0: no limit
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
     * @param share share of the service that the tenant may use
     * @param quotaPerS new sessions per second over all fronts; null: no limit
     */
    public record TenantSettings(
            @Range(min = 0, max = 1) double share,
            @Default("null") @Range(min = 0) Double quotaPerS) {}

    /**
     * A kind of box.
     *
     * @param places maximum number of streams of a box
     */
    public record KindSettings(@Range(min = 1, max = 1e6) double places) {}

    /**
     * The ladder of rates.
     *
     * @param kb rate of each rung, kB per second, ascending
     * @param worth worth of each rung per second
     */
    public record Ladder(
            @Range(min = 1, max = 64) List<Double> kb,
            @Range(min = 1, max = 64) List<Double> worth) {
        /** Checks that the lists have the same length and the rates rise. */
        public Ladder {
            if (kb.size() != worth.size()) {
                throw new IllegalArgumentException("kb and worth must have the same length");
            }
            for (int i = 0; i < kb.size(); i++) {
                if (!(kb.get(i) > (i == 0 ? 0 : kb.get(i - 1)))) {
                    throw new IllegalArgumentException("kb must be positive and increase with each rung");
                }
            }
        }
    }

    /**
     * The fleet as a whole.
     *
     * @param cells number of cells
     * @param racks number of racks; the rack of a box is its cell modulo this number
     * @param linksKb capacity of all links together, kB per second
     * @param weightKb link capacity of a box per unit of its weight, kB per second
     * @param uplinkKb mean uplink capacity of a rack, kB per second
     */
    public record Fleet(
            @Range(min = 1, max = 100_000) int cells,
            @Range(min = 1, max = 100_000) int racks,
            @Range(min = 1) double linksKb,
            @Range(min = 1e-6) double weightKb,
            @Range(min = 1) double uplinkKb) {}

    /**
     * The reports of boxes.
     *
     * @param lateMs assumed delay between a measurement on a box and the arrival of its note at the front, ms
     * @param tellMs interval at which boxes send notes of link and uplink use, ms; 0: they send none
     * @param stall percentage points of worth lost per percentage point of the rate that is not delivered
     * @param changeCostMs cost of a change of rung: the worth of the session in this time, ms
     */
    public record Notes(
            @Range(min = 0, max = 600_000) double lateMs,
            @Range(min = 0, max = 600_000) double tellMs,
            @Range(min = 0, max = 1000) double stall,
            @Range(min = 0, max = 600_000) double changeCostMs) {}

    /**
     * Parameters of the placement rules.
     *
     * @param maxAttempts maximum number of set-up attempts for one request
     * @param maxRetryAfterMs longest retry delay that viewers obey, ms; no refusal asks for a longer one
     * @param crossZonePrice price of a session that crosses zones
     * @param overShareWorth factor of the worth of a session beyond its tenant's share
     * @param drainGraceMs new sessions must not start on a box later than this after its drain was received, ms
     * @param coldMs time after its start until a box is warm, ms
     * @param coldShare share of its capacity that a box has at its start
     * @param fallMultiple a cold box fails when it is sent more than this multiple of its current capacity
     * @param fallMs time of such an overload after which the box fails, ms
     * @param spareAttempts retries allowed regardless of the traffic; null: retries are not limited
     * @param attemptShare further retries allowed per request
     * @param attemptWindowMs sliding window in which requests and retries are counted, ms
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
     * Limits of this process.
     *
     * @param answerMarginMs answers are sent this long before the viewer's patience ends, ms
     * @param connections maximum number of viewer connections
     * @param boxConnections maximum number of connections to one box
     * @param boxWaiting maximum number of segment requests that wait for a connection to one box
     * @param connectMs timeout for connecting to a box, ms
     * @param idleMs inactivity of the player after which its session is ended, ms
     * @param requestMs timeout for receiving the head and body of a request, ms
     * @param moveReturnMs maximum time that a moved session waits for its old box to acknowledge the release, ms
     * @param settleMs timeout for querying a box whether a paid set-up whose answer was lost ran, ms
     * @param sameMs a token received again within this time after its refusal counts as the same request, ms
     * @param tokens maximum number of token ids kept
     * @param tokenThreads number of threads that verify tokens
     * @param tokenWaiting maximum number of tokens that wait for verification
     * @param boxes maximum number of boxes in the box list
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
     * Settings for players in web pages.
     *
     * @param origins origins that may use this front (Fetch standard, CORS protocol); "*" allows all
     */
    public record Web(@Default("[]") @Range(max = 1000) List<String> origins) {}

    /** Checks constraints between fields. */
    public FrontSettings {
        if (me >= fronts) {
            throw new IllegalArgumentException("me must be below fronts");
        }
        classes.forEach((name, classSettings) -> {
            if (classSettings.floor() >= ladder.kb().size()) {
                throw new IllegalArgumentException("classes." + name + ".floor is above the ladder");
            }
            if (classSettings.patienceMs() <= limits.answerMarginMs()) {
                throw new IllegalArgumentException(
                        "classes." + name + ".patienceMs must be above limits.answerMarginMs");
            }
        });
    }

    /** Returns the settings of the module. */
    public SessionControl.Settings moduleSettings() {
        List<SessionControl.ServiceClass> types = new ArrayList<>();
        int highest = ladder.kb().size() - 1;
        classes.forEach((name, classSettings) -> types.add(new SessionControl.ServiceClass(
                name,
                classSettings.aimMs(),
                classSettings.worth(),
                classSettings.once(),
                classSettings.floor(),
                Math.min(classSettings.top(), highest),
                classSettings.scale(),
                classSettings.seats())));
        List<SessionControl.Tenant> tenantList = new ArrayList<>();
        tenants.forEach((name, tenant) ->
                tenantList.add(new SessionControl.Tenant(name, tenant.share(), orNaN(tenant.quotaPerS()))));
        List<SessionControl.Kind> kindList = new ArrayList<>();
        kinds.forEach((name, kind) -> kindList.add(new SessionControl.Kind(name, kind.places())));
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

    /** Returns the settings of the session core. */
    public CoreSettings coreSettings() {
        Map<String, SessionType> types = new HashMap<>();
        classes.forEach((name, classSettings) -> types.put(
                name,
                new SessionType(
                        classSettings.once(),
                        classSettings.floor(),
                        classSettings.scale(),
                        new AnswerDeadline(classSettings.patienceMs(), limits.answerMarginMs()))));
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
