package spanrill.cli;

import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import spanrill.wire.dash.MpdValidator;

/** Manifests. */
@Command(
        name = "mpd",
        mixinStandardHelpOptions = true,
        description = "DASH manifests.",
        subcommands = {MpdCommand.Check.class, CommandLine.HelpCommand.class})
final class MpdCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }

    /** Checks one. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = {
                "Checks a manifest against the schema and the rules of ISO/IEC 23009-1 for recorded titles.",
                "Exit code 3 when something is wrong with it."
            })
    static final class Check implements Callable<Integer> {
        private static final long MOST_BYTES = 4 << 20;

        @Parameters(paramLabel = "FILE", description = "an MPD")
        private Path file;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            String text;
            try {
                if (Files.size(file) > MOST_BYTES) {
                    throw new BadInput(file + ": larger than " + MOST_BYTES + " bytes");
                }
                text = Files.readString(file);
            } catch (MalformedInputException e) {
                throw new BadInput(file + ": is no UTF-8 text");
            } catch (IOException e) {
                throw new BadInput(file + ": can't be read");
            }
            List<MpdValidator.Finding> findings = MpdValidator.check(text);
            findings.forEach(f ->
                    spec.commandLine().getOut().println(file + (f.line() > 0 ? ":" + f.line() : "") + ": " + f.text()));
            if (findings.isEmpty()) {
                spec.commandLine().getOut().println(file + ": nothing is wrong with it");
            }
            spec.commandLine().getOut().flush();
            return findings.isEmpty() ? Exit.HELD : Exit.RULE_BROKEN;
        }
    }
}
