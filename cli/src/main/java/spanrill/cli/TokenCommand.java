package spanrill.cli;

import java.nio.file.Path;
import java.util.UUID;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import spanrill.standin.token.Issuer;

/** Makes a token or keys by hand. */
@Command(
        name = "token",
        mixinStandardHelpOptions = true,
        description = {
            "Makes a session token by a private JWK set, or with --new-keys the key files themselves:",
            "PREFIX.private.json to sign by, PREFIX.public.json for a front's settings (field keys)."
        })
final class TokenCommand implements Callable<Integer> {
    @Option(names = "--new-keys", paramLabel = "PREFIX", description = "write a new ES256 key pair and stop")
    private Path prefix;

    @Option(names = "--keys", paramLabel = "FILE", description = "private JWK set to sign by")
    private Path keys;

    @Option(names = "--title", description = "title that may be watched")
    private String title;

    @Option(names = "--class", paramLabel = "CLASS", description = "class of session")
    private String cls;

    @Option(names = "--viewer", defaultValue = "viewer", description = "key of the viewer's session")
    private String viewer;

    @Option(names = "--tenant", description = "tenant")
    private String tenant;

    @Option(names = "--top", defaultValue = "63", description = "highest rung (default: ${DEFAULT-VALUE})")
    private int top;

    @Option(names = "--id", description = "id of the token; drawn when not given")
    private String id;

    @Option(
            names = "--valid",
            defaultValue = "300",
            paramLabel = "SECONDS",
            description = "valid for so long (default: ${DEFAULT-VALUE})")
    private long valid;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (prefix != null) {
            Issuer issuer = Issuer.generate("key-" + UUID.randomUUID());
            issuer.writePrivateKey(Path.of(prefix + ".private.json"));
            Issuer.writeVerificationKeys(Path.of(prefix + ".public.json"), issuer);
            return Exit.HELD;
        }
        if (keys == null || title == null || cls == null) {
            throw new BadInput("--keys, --title and --class must be given (or --new-keys)");
        }
        if (valid < 1 || valid > 366L * 86_400 || top < 0) {
            throw new BadInput("--valid must be from 1 s to a year, --top from 0");
        }
        String name = id == null ? UUID.randomUUID().toString() : id;
        spec.commandLine().getOut().println(Issuer.read(keys).issue(name, viewer, title, cls, tenant, top, valid));
        return Exit.HELD;
    }
}
