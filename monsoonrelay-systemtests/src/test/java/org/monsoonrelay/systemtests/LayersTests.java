package org.monsoonrelay.systemtests;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

class LayersTests {

	private static final String ROOT = "org.monsoonrelay.";

	private final JavaClasses classes = new ClassFileImporter()
		.withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
		.importPackages("org.monsoonrelay");

	@Test
	void arrowsPointFromProgramsOverAdaptersAndLogicToTheModel() {
		layeredArchitecture().consideringOnlyDependenciesInLayers()
			.layer("model")
			.definedBy(ROOT + "model..")
			.layer("logic")
			.definedBy(ROOT + "logic..")
			.layer("adapters")
			.definedBy(ROOT + "adapters..")
			.layer("platform")
			.definedBy(ROOT + "platform..")
			.layer("programs")
			.definedBy(ROOT + "gateway..", ROOT + "scheduler..", ROOT + "cli..")
			.layer("host")
			.definedBy(ROOT + "host..")
			.layer("standins")
			.definedBy(ROOT + "standin..")
			.whereLayer("logic")
			.mayOnlyBeAccessedByLayers("adapters", "platform", "programs", "host", "standins")
			.whereLayer("adapters")
			.mayOnlyBeAccessedByLayers("platform", "programs", "host", "standins")
			.whereLayer("platform")
			.mayOnlyBeAccessedByLayers("programs", "host")
			.whereLayer("programs")
			.mayOnlyBeAccessedByLayers("host")
			.whereLayer("host")
			.mayNotBeAccessedByAnyLayer()
			.whereLayer("standins")
			.mayNotBeAccessedByAnyLayer()
			.check(this.classes);
	}

	@Test
	void modelAndLogicKnowNoTransport() {
		noClasses().that()
			.resideInAnyPackage(ROOT + "model..", ROOT + "logic..")
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("io.netty..", "io.jooby..", "okhttp3..", "com.google.protobuf..", "java.net..")
			.check(this.classes);
	}

	@Test
	void programsDoNotKnowEachOther() {
		noClasses().that()
			.resideInAPackage(ROOT + "gateway..")
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage(ROOT + "scheduler..", ROOT + "cli..", ROOT + "host..")
			.check(this.classes);
	}

	@Test
	void onlyTheCompositionOfProgramsKnowsThePlatform() {
		noClasses().that()
			.resideOutsideOfPackages(ROOT + "platform..", ROOT + "gateway.jobs..", ROOT + "scheduler.pool..",
					ROOT + "host..")
			.should()
			.dependOnClassesThat()
			.resideInAPackage(ROOT + "platform..")
			.check(this.classes);
	}

}
