package spanrill.node;

import java.nio.charset.StandardCharsets;
import java.util.List;

/** Configuration files for tests, with two service classes, three rungs and one cell. */
public final class TestConfig {
    private TestConfig() {}

    /** A server as JSON, as in the server list. */
    public static String member(String id, int port, String phase) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + port
                + "\",\"locality\":\"a\",\"flavor\":\"std\",\"cell\":0,\"phase\":\"" + phase
                + "\",\"size\":1,\"up_since_ms\":0}";
    }

    /** A server list update as JSON, as discovery sends it. */
    public static String event(long number, boolean complete, String... members) {
        return "{\"no\":" + number + ",\"roster\":{\"revision\":" + number + ",\"complete\":" + complete
                + ",\"members\":["
                + String.join(",", members) + "]}}";
    }

    /** The configuration file as text. */
    public static String json(int listenPort, int discoveryPort, List<String> events) {
        return """
                {"name":"n0","listen":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":128,"sockets":%d},"bulletin":"127.0.0.1:%d",
                 "known":{"no":%d,"items":[%s]},
                 "settings":{"me":0,"balancers":1,"az":"a","models":["std"],"tenants":[],
                  "over_share_worth":0.1,
                  "classes":[{"name":"free","target":800.0,"hard_limit":1500.0,"value":1.0,
                   "effect":"repeatable"},
                   {"name":"paid","target":800.0,"hard_limit":1500.0,"value":3.0,"effect":"once"}],
                  "family_info":{"cells":1,"racks":1,"class_floor":[0,1],"class_top":[2,2],
                   "class_seats":[0,0],
                   "scale_by_class":[1.0,1.0],"places_by_kind":[500],"level_kb":[100.0,200.0,400.0],
                   "worth_by_rung":[0.3,0.6,1.0],"links_kb":3000000.0,"weight_kb":1000000.0,
                    "rack_kb":3000000.0,
                   "stall":7.0,"change_costs_s":0.5,"told_late":200.0,"tell":1000.0},
                  "limits":{"max_attempts":3,"max_retry_after":2000.0,"connect_timeout":300.0,
                   "conn_idle":3000.0,
                   "retry_after":true},
                  "penalties":{"cross_zone":0.0},
                  "safety":{"cold":4000.0,"cold_share":0.4,"tip_multiple":2.0,"fall":500.0}}}
                """.formatted(listenPort, 256, discoveryPort, events.size(), String.join(",", events));
    }

    /** The configuration file as bytes. */
    public static byte[] bytes(int listenPort, int discoveryPort, List<String> events) {
        return json(listenPort, discoveryPort, events).getBytes(StandardCharsets.UTF_8);
    }
}
