package spanrill.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Makes the page of a run. */
@Command(
        name = "report",
        mixinStandardHelpOptions = true,
        description = {
            "Draws the pictures of a rehearsal and makes one page of them and its report: index.html in its folder."
        })
final class ReportCommand implements Callable<Integer> {
    static final String REPORT = "report.json";

    @Parameters(paramLabel = "RUN", description = "folder that 'rehearse --results RUN' wrote")
    private Path folder;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        try {
            PlotCommand.draw(folder);
            Path page = write(folder);
            spec.commandLine().getOut().println(page);
        } catch (IOException e) {
            throw new BadInput(e.getMessage());
        }
        return Exit.HELD;
    }

    /** Writes the page of a folder whose pictures are drawn. */
    static Path write(Path folder) throws IOException {
        Path file = folder.resolve(REPORT);
        if (!Files.isRegularFile(file)) {
            throw new IOException(file + ": there is no such file; was the run made by 'rehearse --results'?");
        }
        JsonNode report;
        try {
            report = new ObjectMapper().readTree(file.toFile());
        } catch (JsonProcessingException e) {
            throw new IOException(
                    file + ": is no report: " + e.getOriginalMessage().split("\\R")[0]);
        }
        Path page = folder.resolve("index.html");
        Files.writeString(page, new RunPage(folder, report).html());
        return page;
    }
}
