package spanrill.layout;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import org.junit.jupiter.api.Test;

/** The arrows between modules, and what pure rooms may not touch. */
class LayoutTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("spanrill");

    @Test
    void arrowsPointDown() {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("core")
                .definedBy("spanrill", "spanrill.setup..")
                .layer("decisions")
                .definedBy("spanrill.decisions..")
                .layer("session")
                .definedBy("spanrill.session..")
                .layer("model")
                .definedBy("spanrill.model..")
                .layer("day")
                .definedBy("spanrill.day..")
                .layer("emulator")
                .definedBy("spanrill.emulator..")
                .layer("results")
                .definedBy("spanrill.results..")
                .layer("settings")
                .definedBy("spanrill.settings..")
                .layer("wire")
                .definedBy("spanrill.wire..")
                .layer("front")
                .definedBy("spanrill.front..")
                .layer("loop")
                .definedBy("spanrill.loop..")
                .layer("node")
                .definedBy("spanrill.node..")
                .layer("check")
                .definedBy("spanrill.check..")
                .layer("standin")
                .definedBy("spanrill.standin..")
                .layer("soak")
                .definedBy("spanrill.soak..")
                .layer("cli")
                .definedBy("spanrill.cli..")
                .whereLayer("cli")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("soak")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("standin")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("model")
                .mayOnlyBeAccessedByLayers("day", "emulator", "standin", "cli")
                .whereLayer("day")
                .mayOnlyBeAccessedByLayers("emulator", "standin", "cli")
                .whereLayer("emulator")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("results")
                .mayOnlyBeAccessedByLayers("standin", "cli")
                .whereLayer("check")
                .mayOnlyBeAccessedByLayers("emulator", "standin", "cli")
                .whereLayer("front")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("node")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("loop")
                .mayOnlyBeAccessedByLayers("front", "node", "cli")
                .whereLayer("wire")
                .mayOnlyBeAccessedByLayers("front", "node", "standin", "soak", "cli")
                .whereLayer("session")
                .mayOnlyBeAccessedByLayers("emulator", "loop", "front", "node", "cli")
                .whereLayer("decisions")
                .mayOnlyBeAccessedByLayers("session", "wire", "front", "node", "model", "emulator", "standin", "cli")
                .whereLayer("settings")
                .mayOnlyBeAccessedByLayers("front", "day", "standin", "cli")
                .whereLayer("core")
                .mayOnlyBeAccessedByLayers(
                        "decisions", "session", "wire", "front", "node", "emulator", "standin", "cli")
                .check(ALL);
    }

    @Test
    void decisionsAreFreeOfInputOutputThreadsAndClocks() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "spanrill",
                        "spanrill.setup..",
                        "spanrill.decisions..",
                        "spanrill.session..",
                        "spanrill.model..",
                        "spanrill.node.session..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.net..",
                        "java.nio..",
                        "java.time..",
                        "java.util.concurrent..",
                        "io.netty..",
                        "org.slf4j..",
                        "com.fasterxml..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAnyPackage(
                        "spanrill",
                        "spanrill.setup..",
                        "spanrill.decisions..",
                        "spanrill.session..",
                        "spanrill.model..",
                        "spanrill.node.session..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .orShould()
                .callMethod(Math.class, "random")
                .check(ALL);
    }

    @Test
    void theCheckerReadsRecordsOnly() {
        noClasses()
                .that()
                .resideInAPackage("spanrill.check..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("spanrill.front..", "spanrill.wire..", "spanrill.decisions..", "io.netty..")
                .check(ALL);
    }

    @Test
    void theCoreOfTheFrontIsFreeOfDashAndHttp() {
        classes()
                .that()
                .resideInAPackage("spanrill.session..")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("java..", "spanrill", "spanrill.decisions..", "spanrill.session..")
                .check(ALL);
    }

    @Test
    void theEmulatorHasNeitherSocketsNorThreadsNorAClock() {
        noClasses()
                .that()
                .resideInAPackage("spanrill.emulator..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "java.net..", "java.time..", "spanrill.front..", "spanrill.wire..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(ALL);
    }

    @Test
    void packagesHaveNoCycles() {
        SlicesRuleDefinition.slices()
                .matching("spanrill.(*)..")
                .should()
                .beFreeOfCycles()
                .check(ALL);
        SlicesRuleDefinition.slices()
                .matching("spanrill.standin.(*)..")
                .should()
                .beFreeOfCycles()
                .check(ALL);
    }
}
