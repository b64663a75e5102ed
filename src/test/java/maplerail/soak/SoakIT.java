package maplerail.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Seeded plays of drawn faults, sizes and signals on real processes. {@code -Dsoak.seeds=1-50} plays others than the few
 * of the build.
 */
class SoakIT {
    private static final String SEEDS = System.getProperty("soak.seeds", "1-4");

    @TempDir
    Path folder;

    static LongStream seeds() {
        long[] range =
                Arrays.stream(SEEDS.split("-")).mapToLong(Long::parseLong).toArray();
        return LongStream.rangeClosed(range[0], range[range.length - 1]);
    }

    /** Guards against rules that hold under each fault alone and break where several meet. */
    @ParameterizedTest
    @MethodSource("seeds")
    void noRuleIsBrokenUnderDrawnFaults(long seed) throws Exception {
        assertNothingBroken(seed, SoakPictures.none());
    }

    /** Guards against the same beside clients that press, leave with much unread or come again, and slow or cut streams. */
    @ParameterizedTest
    @MethodSource("seeds")
    void noRuleIsBrokenBesideClientsThatPress(long seed) throws Exception {
        assertNothingBroken(seed, SoakPictures.draw(seed));
    }

    private void assertNothingBroken(long seed, SoakPictures pictures) throws Exception {
        SoakPlan plan = new SoakPlan(seed);
        SoakPlay play = new SoakPlay(plan, pictures);
        List<String> broken = play.run(folder);
        System.out.println("soak " + plan + ", " + pictures + ": " + play.size() + " requests, broken: " + broken);
        assertThat(play.size()).isGreaterThan(20);
        assertThat(broken).as("%s, %s; log:%n%s", plan, pictures, play.log()).isEmpty();
    }
}
