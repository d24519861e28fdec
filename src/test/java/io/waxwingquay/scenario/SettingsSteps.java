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

/** Steps on settings files. */
public final class SettingsSteps {

    private static final Path REFERENCE = Path.of("docs", "settings", "entry.toml");

    private String text = "";
    private SettingsException refusal;

    /** Takes the reference file and adds a line. */
    @Given("the settings of an entry with {string} added")
    public void settingsWith(String line) throws IOException {
        text = Files.readString(REFERENCE) + "\n" + line + "\n";
    }

    /** Reads them. */
    @When("the settings are read")
    public void read() {
        refusal = assertThrows(
                SettingsException.class,
                () -> EntrySettings.parse("entry.toml", text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Looks for the sentence. */
    @Then("they are refused with {string}")
    public void refusedWith(String sentence) {
        assertTrue(refusal.getMessage().contains(sentence), refusal.getMessage());
    }
}
