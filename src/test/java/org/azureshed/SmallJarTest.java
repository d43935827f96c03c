package org.azureshed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.Dependency;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.PathMatcher;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the list of classes in the jar of the small node, which the pom names one by one. */
class SmallJarTest {
    private static final Pattern INCLUDE = Pattern.compile("<include>(org/azureshed/.*)</include>");

    /** Guards against a node that ends at its start, because its jar lacks one of its classes. */
    @ParameterizedTest
    @ValueSource(strings = "org.azureshed.platform.SidecarMain")
    void jarHasAllClassesThatItsMainClassNeeds(String mainClass) throws Exception {
        List<PathMatcher> included =
                INCLUDE.matcher(Files.readString(Path.of("pom.xml")))
                        .results()
                        .map(match -> "glob:" + match.group(1))
                        .map(FileSystems.getDefault()::getPathMatcher)
                        .toList();
        assertTrue(included.size() > 5, included::toString);
        JavaClasses classes =
                new ClassFileImporter()
                        .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                        .importPackages("org.azureshed");
        List<String> missing =
                reachable(classes.get(mainClass)).stream()
                        .map(type -> Path.of(type.replace('.', '/') + ".class"))
                        .filter(file -> included.stream().noneMatch(one -> one.matches(file)))
                        .map(Path::toString)
                        .sorted()
                        .toList();
        assertEquals(List.of(), missing);
    }

    /** Returns the project's classes that a class needs, directly or through others. */
    private static Set<String> reachable(JavaClass start) {
        Set<String> found = new HashSet<>(Set.of(start.getName()));
        Deque<JavaClass> next = new ArrayDeque<>(List.of(start));
        while (!next.isEmpty()) {
            for (Dependency dependency : next.remove().getDirectDependenciesFromSelf()) {
                JavaClass target = dependency.getTargetClass().getBaseComponentType();
                if (target.getName().startsWith("org.azureshed.") && found.add(target.getName())) {
                    next.add(target);
                }
            }
        }
        return found;
    }
}
