package org.azureshed;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.belongToAnyOf;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.time.Clock;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards the decision code against input and output, clocks and random numbers, so that a recorded
 * list of events always gives the same effects.
 */
class ArchitectureTest {
    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("org.azureshed");

    /** Classes of the decision packages that run threads or block on purpose. */
    private static final Set<String> SHELL_CLASSES =
            Set.of(
                    "org.azureshed.control.ControlLoop",
                    "org.azureshed.idempotency.KeyClaims",
                    "org.azureshed.admission.Pending",
                    "org.azureshed.admission.Waiter");

    private static final DescribedPredicate<JavaClass> DECISION_CODE =
            resideInAnyPackage(
                            "org.azureshed.model..",
                            "org.azureshed.control..",
                            "org.azureshed.membership..",
                            "org.azureshed.distribution..",
                            "org.azureshed.idempotency..",
                            "org.azureshed.ejection..",
                            "org.azureshed.poison..",
                            "org.azureshed.routing..",
                            "org.azureshed.admission..",
                            "org.azureshed.directory..",
                            "org.azureshed.dispatch..",
                            "org.azureshed.host..")
                    .and(DescribedPredicate.not(resideInAPackage("..internal..")))
                    .and(
                            DescribedPredicate.describe(
                                    "not a shell class",
                                    type -> !SHELL_CLASSES.contains(outermost(type))));

    /** The URL codecs of java.net do no input or output. */
    private static final DescribedPredicate<JavaClass> INPUT_OUTPUT =
            resideInAnyPackage(
                            "java.net..",
                            "java.nio.file..",
                            "java.nio.channels..",
                            "io.netty..",
                            "jakarta.servlet..",
                            "org.apache.hc..",
                            "org.azureshed.transport..",
                            "org.azureshed.proxy..",
                            "org.azureshed.node..",
                            "org.azureshed.standin..",
                            "org.azureshed.cli..")
                    .and(DescribedPredicate.not(belongToAnyOf(URLEncoder.class, URLDecoder.class)));

    private static String outermost(JavaClass type) {
        return type.getEnclosingClass().map(ArchitectureTest::outermost).orElse(type.getName());
    }

    static List<ArchRule> rules() {
        return Stream.<ArchRule>of(
                        noClasses()
                                .that(DECISION_CODE)
                                .should()
                                .callMethod(System.class, "nanoTime")
                                .orShould()
                                .callMethod(System.class, "currentTimeMillis")
                                .orShould()
                                .callMethod(Instant.class, "now")
                                .orShould()
                                .dependOnClassesThat()
                                .belongToAnyOf(Clock.class),
                        noClasses()
                                .that(DECISION_CODE)
                                .should()
                                .dependOnClassesThat()
                                .belongToAnyOf(Random.class, ThreadLocalRandom.class),
                        noClasses().that(DECISION_CODE).should().dependOnClassesThat(INPUT_OUTPUT),
                        noClasses()
                                .that(DECISION_CODE)
                                .should()
                                .dependOnClassesThat()
                                .belongToAnyOf(Thread.class),
                        noClasses()
                                .that()
                                .resideOutsideOfPackages(
                                        "org.azureshed.bench..", "org.azureshed.cli..")
                                .should()
                                .dependOnClassesThat()
                                .resideInAPackage("org.azureshed.bench.."))
                .toList();
    }

    @ParameterizedTest
    @MethodSource("rules")
    void decisionCodeIsPure(ArchRule rule) {
        rule.check(CLASSES);
    }
}
