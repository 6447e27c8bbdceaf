package spanrill.simhost;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.StringReader;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SimulatorAdapterTest {
    private static final String SETUP = String.join(
            "\t",
            "me=0",
            "balancers=2",
            "az=a",
            "classes.count=1",
            "classes.0.name=free",
            "classes.0.target=1000.0",
            "classes.0.value=1.0",
            "classes.0.effect=repeatable",
            "family_info.class_floor=0",
            "family_info.class_top=1",
            "family_info.scale_by_class=1.0",
            "family_info.class_seats=0",
            "family_info.level_kb=100.0,200.0",
            "family_info.worth_by_rung=0.4,1.0",
            "family_info.cells=1",
            "family_info.racks=1",
            "family_info.links_kb=9000.0",
            "family_info.weight_kb=9000.0",
            "family_info.rack_kb=9000.0",
            "family_info.stall=5.0",
            "family_info.change_costs_s=0.5",
            "family_info.told_late=800.0",
            "family_info.tell=2000.0",
            "family_info.places_by_kind=20",
            "models=std",
            "limits.max_attempts=3",
            "limits.max_retry_after=1000.0",
            "penalties.cross_zone=0.0",
            "over_share_worth=0.1",
            "safety.cold=12000.0",
            "safety.cold_share=0.4",
            "safety.tip_multiple=4.0",
            "safety.fall=3000.0",
            "report.names=x0,x1",
            "a.key.nobody.knows=1");
    private static final String LIST = "SHEET\t0\t1\nENTRY\tserver_a\ta\tstd\t0\tU\t1\t-\n";

    private static String init(int instance) {
        return "INIT\t" + instance + "\t7\t" + SETUP + "\n" + LIST + "DIRECTORY_UPDATE\t" + instance + "\tdisk\t1\t0\n";
    }

    private static String request(int instance, String id) {
        return "REQ\t" + instance + "\t" + id + "\tfree\t-\tk\tt\t3000.0\t-\t0\t1\t1\t0\n";
    }

    private static String batch(int round, String events) {
        return "TICK\t" + (1000 + 10 * round) + ".5\t" + round + "\n" + events + "END\n\n";
    }

    private static String run(String input) throws Exception {
        StringWriter out = new StringWriter();
        new SimulatorAdapter(out).run(new BufferedReader(new StringReader(input)));
        return out.toString();
    }

    @Test
    void emptyBatchIsAcknowledged() throws Exception {
        assertEquals("EOR\t1\n", run(batch(1, "")));
    }

    @Test
    void actionsInOneBatchAreWrittenForEachInstanceInOrderOfEvents() throws Exception {
        String reply = run(batch(1, init(0) + init(4)) + batch(2, request(4, "01") + request(0, "02")));
        String second = reply.substring(reply.indexOf("EOR\t1\n"));
        assertTrue(second.contains("PASS_ON\t4\t01\t") && second.contains("PASS_ON\t0\t02\t"), reply);
        assertTrue(second.indexOf("PASS_ON\t4") < second.indexOf("PASS_ON\t0"));
        assertTrue(reply.endsWith("EOR\t2\n"));
    }

    @Test
    void instanceMayBeDestroyedAndRecreatedInOneBatch() throws Exception {
        String reply = run(batch(1, init(0))
                + batch(2, request(0, "01"))
                + batch(3, "DESTROY\t0\n" + init(0) + "TIMED_OUT_CLIENT\t0\t01\n" + request(0, "02")));
        assertTrue(reply.contains("PASS_ON\t0\t02\t"), reply);
    }

    @Test
    void serverListSlotCanBeReplacedWithinABatch() throws Exception {
        String reply = run(batch(
                1,
                init(0) + LIST.replace("server_a", "server_b") + "DIRECTORY_UPDATE\t0\tsnapshot\t2\t0\n"
                        + request(0, "01")));
        assertTrue(reply.contains("server_b") && !reply.contains("server_a"), reply);
    }

    @ParameterizedTest
    @CsvSource({
        "REQ|0|01|free|-|k|t|soon|-|0|1|1|0, remaining",
        "REQ|0|01|free|-|k|t, remaining",
        "RETURNED|0|01|2|1.0|GOOD|0|server_a|-, no_more",
        "RETURNED|0|01|1|1.0|FINE|0|server_a|-, code",
        "DUE|9|sweep, who",
        "DIRECTORY_UPDATE|0|diff|1|7, slot",
        "GREETING|0, GREETING",
        "DUE|0|sweep|more, too many"
    })
    void malformedLineIsReportedAndItsBatchHasNoOutput(String line, String expected) {
        StringWriter out = new StringWriter();
        String input = batch(1, init(0)) + batch(2, request(0, "01") + line.replace('|', '\t') + "\n");
        InputFormatException e = assertThrows(
                InputFormatException.class,
                () -> new SimulatorAdapter(out).run(new BufferedReader(new StringReader(input))));
        assertTrue(e.getMessage().contains("line ") && e.getMessage().contains(expected), e.getMessage());
        assertTrue(out.toString().endsWith("EOR\t1\n"));
    }

    @Test
    void missingSettingIsReportedByItsPath() {
        InputFormatException e = assertThrows(
                InputFormatException.class, () -> run(batch(1, init(0).replace("safety.fall=3000.0\t", ""))));
        assertTrue(e.getMessage().contains("safety.fall"), e.getMessage());
    }
}
