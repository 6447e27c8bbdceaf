package spanrill.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import spanrill.results.CountRow;
import spanrill.results.Pictures;
import spanrill.results.Rows;
import spanrill.results.SecondRow;

/** Draws what a rehearsal measured. */
@Command(name = "plot", mixinStandardHelpOptions = true, description = {
    "Draws the pictures of a rehearsal from the rows in its folder: offered against served, shares by rack,",
    "answers and returns, stalls, rungs."})
final class PlotCommand implements Callable<Integer> {
    @Parameters(paramLabel = "DIR", description = "folder that 'rehearse --results DIR' wrote")
    private Path folder;

    @Override
    public Integer call() throws Exception {
        try {
            Pictures.write(folder, Rows.read(folder.resolve(Rehearsal.SECONDS), SecondRow.class),
                    Rows.read(folder.resolve(Rehearsal.COUNTS), CountRow.class));
        } catch (IOException e) {
            throw new BadInput(e.getMessage());
        }
        return Exit.HELD;
    }
}
