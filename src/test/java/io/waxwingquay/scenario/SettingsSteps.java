package io.waxwingquay.scenario;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.waxwingquay.settings.EntrySettings;
import io.waxwingquay.settings.SettingsException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Steps on the validation of settings files. */
public final class SettingsSteps {

    private static final Path REFERENCE_FILE = Path.of("docs", "settings", "entry.toml");

    private String settingsText = "";
    private SettingsException rejection;

    /** Reads the reference file and appends a line. */
    @Given("the settings of an entry with {string} added")
    public void addLine(String line) throws IOException {
        settingsText = Files.readString(REFERENCE_FILE) + "\n" + line + "\n";
    }

    /** Parses the settings, which must be rejected. */
    @When("the settings are read")
    public void readSettings() {
        rejection = assertThrows(
                SettingsException.class,
                () -> EntrySettings.parse("entry.toml", settingsText.getBytes(StandardCharsets.UTF_8)));
    }

    /** Checks that the error message contains a sentence. */
    @Then("they are refused with {string}")
    public void verifyMessage(String sentence) {
        assertTrue(rejection.getMessage().contains(sentence), rejection.getMessage());
    }
}
