package io.waxwingquay.scenario;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs every feature file under {@code scenarios} with the step classes of this package. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("scenarios")
@ConfigurationParameter(key = "cucumber.glue", value = "io.waxwingquay.scenario")
@ConfigurationParameter(key = "cucumber.plugin", value = "summary")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
class ScenariosTest {}
