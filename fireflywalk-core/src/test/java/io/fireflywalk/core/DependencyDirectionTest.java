package io.fireflywalk.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against dependencies of the core on I/O, threads, clocks and the outer modules. */
class DependencyDirectionTest {

    private static final JavaClasses CORE = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("io.fireflywalk.core");

    @ParameterizedTest
    @ValueSource(
            strings = {
                "java.io..",
                "java.nio.file..",
                "java.nio.channels..",
                "java.net..",
                "java.util.concurrent.locks..",
                "io.vertx..",
                "io.reactivex..",
                "com.fasterxml..",
                "org.jboss..",
                "com.codahale..",
                "io.fireflywalk.services..",
                "io.fireflywalk.daemon.."
            })
    void coreDoesNotDependOn(String packagePattern) {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAPackage(packagePattern)
                .allowEmptyShould(true)
                .check(CORE);
    }

    @Test
    void coreReadsNoClockAndStartsNoThread() {
        noClasses()
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(java.time.Instant.class, "now")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .allowEmptyShould(true)
                .check(CORE);
    }
}
