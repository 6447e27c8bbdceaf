package spanrill.results;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ResultsTest {
    @TempDir
    Path folder;

    /**
     * Rows of two boxes in one rack, whose links pass 1,000 and 500 bytes per second to an uplink of 900. Received
     * bytes are the granted bytes times a factor.
     */
    private static List<SecondRow> rows(double receivedFactor) {
        List<SecondRow> rows = new ArrayList<>();
        for (int second = 1; second <= 50; second++) {
            for (int i = 0; i < 4; i++) {
                double granted = 500 * 0.5 * 0.6 * 2;
                rows.add(new SecondRow(
                        second,
                        "a" + i,
                        "free",
                        0,
                        0,
                        0,
                        2,
                        500,
                        1000,
                        900,
                        granted / 2 * 1.0,
                        Math.round(granted / 2 * receivedFactor),
                        1000,
                        true,
                        true,
                        true));
            }
            rows.add(new SecondRow(
                    second,
                    "b",
                    "free",
                    0,
                    1,
                    0,
                    2,
                    500,
                    1000,
                    900,
                    300,
                    Math.round(300 * receivedFactor),
                    1000,
                    true,
                    true,
                    true));
        }
        return rows;
    }

    @Test
    void checkPassesWhenSharesFollowTheRule() {
        ShareCheck.Result result = ShareCheck.check(rows(1));
        assertEquals(250, result.receivedVsRule().count());
        assertTrue(result.passed(), result.toString());
        assertEquals(0, result.modelVsRule().p95(), 1e-9);
    }

    @Test
    void checkFailsWhenReceivedBytesDifferFromTheGrant() {
        assertFalse(ShareCheck.check(rows(1.04)).passed());
        assertFalse(ShareCheck.check(rows(0.96)).passed());
        assertEquals(-0.04, ShareCheck.check(rows(0.96)).receivedVsRule().mean(), 0.002);
    }

    @Test
    void checkFailsWhenTheModelUsesAnotherSharingRule() {
        List<SecondRow> equalShares = new ArrayList<>();
        for (SecondRow row : rows(1)) {
            // All sessions of the rack get the same share, as if only the uplink limited them.
            equalShares.add(new SecondRow(
                    row.second(),
                    row.token(),
                    row.cls(),
                    0,
                    row.box(),
                    0,
                    2,
                    row.asked(),
                    row.linkGives(),
                    row.uplinkGives(),
                    180,
                    180,
                    1000,
                    true,
                    true,
                    true));
        }
        assertFalse(ShareCheck.check(equalShares).passed());
    }

    @Test
    void checkFailsWithoutAnOverloadedLink() {
        assertFalse(ShareCheck.check(List.of(
                        new SecondRow(1, "a", "free", 0, 0, 0, 0, 100, 1000, 1000, 100, 100, 1000, true, true, true)))
                .passed());
    }

    @Test
    void rowsAreReadBackAsWrittenAndDrawnAsCharts() throws IOException {
        Path file = folder.resolve("seconds.parquet");
        List<SecondRow> rows = rows(1);
        try (ParquetRows<SecondRow> out = new ParquetRows<>(file, SecondRow.class)) {
            rows.forEach(out::add);
            assertEquals(0, out.dropped());
        }
        assertEquals(rows, ParquetRows.read(file, SecondRow.class));
        Charts.writeRunCharts(
                folder, rows, List.of(new CountRow(1, 5, 4, 1, 0, 1, 4, 10), new CountRow(2, 5, 4, 1, 0, 1, 4, 0)));
        for (String name : List.of("offered", "shares", "rungs", "answers", "stalls")) {
            assertTrue(Files.size(folder.resolve(name + ".png")) > 5000, name);
        }
    }

    @Test
    void readReportsMissingAndForeignFiles() throws IOException {
        Path file = folder.resolve("x.parquet");
        assertTrue(assertThrows(IOException.class, () -> ParquetRows.read(file, SecondRow.class))
                .getMessage()
                .contains("no such file"));
        Files.writeString(file, "nonsense");
        assertTrue(assertThrows(IOException.class, () -> ParquetRows.read(file, SecondRow.class))
                .getMessage()
                .contains("is no Parquet file"));
    }

    @Test
    void kendallTauOfEqualReversedAndTiedRanks() {
        double[] ascending = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10};
        double[] descending = {10, 9, 8, 7, 6, 5, 4, 3, 2, 1};
        assertEquals(1, KendallTau.of(ascending, ascending, 1).tau(), 1e-12);
        assertEquals(-1, KendallTau.of(ascending, descending, 1).tau(), 1e-12);
        // Five items with a tie, computed by hand: 8 pairs are concordant, 1 is discordant, 1 is tied in the second
        // list.
        KendallTau tied = KendallTau.of(new double[] {1, 2, 3, 4, 5}, new double[] {2, 1, 3, 3, 5}, 1);
        assertEquals(7 / Math.sqrt(10 * 9), tied.tau(), 1e-12);
        assertTrue(tied.low() <= tied.tau() && tied.tau() <= tied.high());
        assertEquals(
                0,
                KendallTau.of(new double[] {1, 1, 1}, new double[] {1, 2, 3}, 1).tau());
        assertThrows(IllegalArgumentException.class, () -> KendallTau.of(new double[] {1, 2}, new double[] {1, 2}, 1));
    }
}
