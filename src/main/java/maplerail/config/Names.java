package maplerail.config;

import java.util.List;
import java.util.stream.Stream;

/** The names behind the places by which the module knows zones, kinds, classes and tenants. */
public record Names(List<String> zones, List<String> kinds, List<String> classes, List<String> tenants) {
    /** Reads them from the settings. */
    public static Names read(Tree settings) {
        return new Names(
                texts(settings.at("localities").list().stream()),
                texts(settings.at("shapes").list().stream()),
                texts(settings.need("lanes").list().stream().map(lane -> lane.need("name"))),
                texts(settings.at("parties").list().stream().map(party -> party.need("name"))));
    }

    private static List<String> texts(Stream<Tree> of) {
        return of.map(Tree::text).toList();
    }
}
