package spanrill.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import spanrill.results.Charts;
import spanrill.results.CountRow;
import spanrill.results.EndRow;
import spanrill.results.ParquetRows;
import spanrill.results.SecondRow;
import spanrill.results.ViewerRow;

/** Draws what a rehearsal measured. */
@Command(
        name = "plot",
        mixinStandardHelpOptions = true,
        description = {
            "Draws the pictures of a rehearsal from the rows in its folder: offered against served, shares by",
            "rack, answers and returns, stalls, rungs, waits for the first play, sessions that ended early."
        })
final class PlotCommand implements Callable<Integer> {
    @Parameters(paramLabel = "DIR", description = "folder that 'rehearse --results DIR' wrote")
    private Path folder;

    @Override
    public Integer call() throws Exception {
        try {
            draw(folder);
        } catch (IOException e) {
            throw new BadInput(e.getMessage());
        }
        return Exit.HELD;
    }

    /** Draws all pictures of a run's folder. */
    static void draw(Path folder) throws IOException {
        Charts.writeRunCharts(
                folder,
                ParquetRows.read(folder.resolve(Rehearsal.SECONDS), SecondRow.class),
                ParquetRows.read(folder.resolve(Rehearsal.COUNTS), CountRow.class));
        if (Files.exists(folder.resolve(Rehearsal.VIEWERS))) {
            Charts.writeViewerCharts(
                    folder,
                    ParquetRows.read(folder.resolve(Rehearsal.VIEWERS), ViewerRow.class),
                    ParquetRows.read(folder.resolve(Rehearsal.ENDS), EndRow.class));
        }
    }
}
