package maplerail.front;

import static maplerail.support.World.await;
import static maplerail.support.World.request;
import static maplerail.support.World.take;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class PlatformTest {
    @Test
    void aRequestIsReadThenWrittenAndItsEventsAreForwardedUnchanged() throws Exception {
        try (StandIn reader = World.reader();
                StandIn writer = World.writer();
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start()) {
            String answer = world.exchange(request("a1", "lookup", "5.0"));
            assertThat(answer)
                    .startsWith("HTTP/1.1 200")
                    .contains("data: {\"a\":1}\n\n", "data: [DONE]\n\n")
                    .endsWith("0\r\n\r\n");
            assertThat(reader.seen).containsExactly("POST /v1/chat/completions?x=%41");
            assertThat(writer.seen).containsExactly("POST /v1/chat/completions?x=%41");
            await("no request is open", () -> world.gateway.openRequests() == 0);
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            Req-Id: a1                   | X: 1                             | 400
            Req-Kind: lookup             | Req-Kind: nonsense               | 400
            Req-Owner: cyngor-glannau    | Req-Owner: nobody                | 400
            Req-Deadline: 5.0            | Req-Deadline: soon               | 400
            Req-Deadline: 5.0            | Req-Deadline: -1                 | 400
            Req-Deadline: 5.0            | Req-Deadline: NaN                | 400
            Req-Extra: prompt_len=500    | Req-Extra: prompt_len=many       | 400
            Req-Extra: prompt_len=500    | Req-Extra: oops                  | 400
            Req-Id: a1                   | Req-Id: a/../b                   | 400
            Content-Length: 15           | Content-Length: 262145           | 413
            POST /v1                     | GET /v1                          | 405
            POST /v1/chat/completions    | POST /-/load                     | 404
            """)
    void invalidRequestsAreRejectedWithoutAnAttempt(String right, String wrong, int status) throws Exception {
        try (StandIn reader = World.reader();
                World world = new World().engine("r", "prefill", reader).start()) {
            String answer = world.exchange(request("a1", "lookup", "5.0").replace(right, wrong));
            assertThat(answer).startsWith("HTTP/1.1 " + status);
            assertThat(reader.seen).isEmpty();
        }
    }

    @Test
    void aChunkedBodyHasTheSameSizeLimit() throws Exception {
        try (StandIn reader = World.reader();
                World world = new World().engine("r", "prefill", reader).start();
                Socket client = world.connect()) {
            String head = request("a1", "lookup", "5.0")
                    .replace("Content-Length: 15", "Transfer-Encoding: chunked")
                    .replace("{\"stream\":true}", "");
            client.getOutputStream()
                    .write((head + ("10000\r\n" + "x".repeat(0x10000) + "\r\n").repeat(5) + "0\r\n\r\n")
                            .getBytes(StandardCharsets.UTF_8));
            byte[] answer = client.getInputStream().readNBytes(12);
            assertThat(new String(answer, StandardCharsets.UTF_8)).isEqualTo("HTTP/1.1 413");
            assertThat(reader.seen).isEmpty();
        }
    }

    /** Guards against requests that are refused for their clients' guess at the work: it is left out and counted. */
    @ParameterizedTest
    @CsvSource({"9000000, 0", "3600000000, 0", "3600000001, 1", "soon, 1"})
    void aRequestIsServedWhateverItsCostHint(String hint, long ignored) throws Exception {
        try (StandIn reader = World.reader();
                StandIn writer = World.writer();
                World world = new World()
                        .admin()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start()) {
            String hinted = request("a1", "lookup", "5.0")
                    .replace("Content-Length", "Req-Cost: " + hint + "\r\nContent-Length");
            assertThat(world.exchange(hinted)).startsWith("HTTP/1.1 200").contains("[DONE]");
            assertThat(world.figure("cost_hints_ignored")).isEqualTo(ignored);
        }
    }

    /** A restarted gateway serves from its last endpoint list while discovery does not answer. */
    @Test
    void theLastEndpointListIsUsedWhileDiscoveryDoesNotAnswer() throws Exception {
        try (StandIn silent = new StandIn(StandIn.Exchange::awaitEnd);
                StandIn reader = World.reader();
                StandIn writer = World.writer();
                World world = new World()
                        .discoveredBy(silent)
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start()) {
            assertThat(world.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void aRequestWithoutAnAvailableEngineIsRejectedWithRetryAfter() throws Exception {
        try (World world = new World().start()) {
            assertThat(world.gateway.openRequests()).isZero();
            try (StandIn drained = World.reader()) {
                world.engine("r", "prefill", drained, "terminating");
                await(
                        "ready",
                        () -> status(world, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                                .contains(" 200 "));
                assertThat(world.exchange(request("a1", "lookup", "0.1")))
                        .startsWith("HTTP/1.1 503")
                        .containsPattern("Retry-After: (0\\.[5-9]|1\\.000)");
                assertThat(drained.seen).isEmpty();
            }
        }
    }

    private static String status(World world, String request) {
        try {
            return world.exchange(request);
        } catch (java.io.IOException e) {
            return "";
        }
    }

    /** The outcome of an attempt and the class decide whether the request is retried, and the client's response. */
    @ParameterizedTest
    @CsvSource({
        "full,lookup,200,2",
        "gone,lookup,200,2",
        "error,repair-order,502,1",
        "reset,repair-order,502,1",
        "full,repair-order,200,2",
        "error,lookup,200,2",
        "reset,lookup,200,2"
    })
    void outcomeAndClassDecideWhetherARequestIsRetried(String how, String kind, int status, int sends)
            throws Exception {
        BlockingQueue<String> first = World.queue();
        first.add(how);
        StandIn.Handler handler = x -> {
            if (x.method.equals("DELETE")) x.reply(204, "");
            else
                switch (first.isEmpty() ? "" : first.take()) {
                    case "full" -> x.reply(503, "", "Srv-Declined: 1");
                    case "gone" -> x.reply(410, "", "Srv-Declined: 1");
                    case "error" -> x.reply(500, "");
                    case "reset" -> x.reset();
                    default -> {
                        x.stream();
                        x.chunk("data: 1\n\n");
                        x.endStream();
                    }
                }
        };
        try (StandIn reader = World.reader();
                StandIn writer = new StandIn(handler);
                StandIn other = new StandIn(handler);
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w1", "decode", writer)
                        .engine("w2", "decode", other)
                        .start()) {
            assertThat(world.exchange(request("a1", kind, "5.0"))).startsWith("HTTP/1.1 " + status);
            assertThat(writer.count("POST") + other.count("POST")).isEqualTo(sends);
            await("no request is open", () -> world.gateway.openRequests() == 0);
            if (status == 502)
                await("the state is released", () -> reader.count("DELETE /internal/reservations/a1") > 0);
        }
    }

    @Test
    void aBrokenStreamClosesTheConnectionWithoutALastChunk() throws Exception {
        StandIn.Handler handler = x -> {
            x.stream();
            x.chunk("data: 1\n\ndata: hal");
            x.reset();
        };
        try (StandIn reader = World.reader();
                StandIn writer = new StandIn(handler);
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start()) {
            String answer = world.exchange(request("a1", "lookup", "5.0"));
            assertThat(answer).contains("data: 1\n\n").doesNotContain("hal").doesNotContain("\r\n0\r\n");
            assertThat(writer.count("POST")).isEqualTo(1);
        }
    }

    /** The engine's connection stays open, but its remaining data can't be trusted. */
    @ParameterizedTest
    @ValueSource(
            strings = {"zz\r\n", "\r\n", "3\r\ndata: 2\n\n\r\n", "c0000000\r\ndata", "99\r\ndata: 2\n\n\r\n0\r\n\r\n"})
    void aMalformedStreamIsNeverCompleted(String malformed) throws Exception {
        StandIn.Handler handler = x -> {
            x.stream();
            x.chunk("data: 1\n\n");
            x.write(malformed);
            x.awaitEnd();
        };
        try (StandIn reader = World.reader();
                StandIn writer = new StandIn(handler);
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start()) {
            String answer = world.exchange(request("a1", "lookup", "5.0"));
            assertThat(answer)
                    .endsWith("data: 1\n\n\r\n")
                    .doesNotContain("data: 2")
                    .doesNotContain("\r\n0\r\n");
            await("the engine connection is closed", () -> writer.ended() == 1);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"noise\n", "HTTP/1.1 200 OK\r\nno header\r\n\r\n", "HTTP/1.1 200 OK\r\nA: "})
    void aMalformedResponseHeadCountsAsAnAttemptThatMayHaveRun(String head) throws Exception {
        try (StandIn reader = World.reader();
                StandIn writer = new StandIn(x -> {
                    x.write(head);
                    x.awaitEnd();
                });
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start()) {
            assertThat(world.exchange(request("a1", "repair-order", "15.0"))).startsWith("HTTP/1.1 502");
            assertThat(writer.count("POST")).isEqualTo(1);
        }
    }

    /** An engine that rejects an invalid request has not failed, and the request is not sent to other engines. */
    @ParameterizedTest
    @ValueSource(ints = {400, 404, 422})
    void aRequestThatAnEngineFindsInvalidIsNotRetried(int status) throws Exception {
        StandIn.Handler validating = x -> {
            if (x.method.equals("POST") && x.headers.get("req-id").startsWith("bad")) x.reply(status, "");
            else x.reply(202, "{}");
        };
        try (StandIn reader = new StandIn(validating);
                StandIn other = new StandIn(validating);
                StandIn writer = World.writer();
                World world = new World()
                        .engine("r1", "prefill", reader)
                        .engine("r2", "prefill", other)
                        .engine("w", "decode", writer)
                        .start()) {
            for (int i = 1; i <= 10; i++) {
                assertThat(world.exchange(request("bad" + i, "lookup", "5.0"))).startsWith("HTTP/1.1 400");
                assertThat(reader.count("POST") + other.count("POST")).isEqualTo(i);
            }
            assertThat(world.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            await("no request is open", () -> world.gateway.openRequests() == 0);
        }
    }

    @Test
    void aStreamDelimitedByTheConnectionsEndIsNotCompleted() throws Exception {
        StandIn.Handler handler = x -> {
            x.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndata: 1\n\n");
            x.reset();
        };
        try (StandIn reader = World.reader();
                StandIn writer = new StandIn(handler);
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start()) {
            assertThat(world.exchange(request("a1", "lookup", "5.0"))).doesNotContain("\r\n0\r\n");
        }
    }

    @Test
    void aClientDisconnectCancelsTheAttemptAndReleasesTheState() throws Exception {
        BlockingQueue<StandIn.Exchange> waiting = World.queue();
        BlockingQueue<String> ended = World.queue();
        StandIn.Handler silent = x -> {
            waiting.add(x);
            x.awaitEnd();
            ended.add(x.headers.get("req-id"));
        };
        try (StandIn reader = World.reader();
                StandIn writer = new StandIn(silent);
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start()) {
            Socket client = world.connect();
            client.getOutputStream().write(request("a1", "repair-order", "5.0").getBytes(StandardCharsets.UTF_8));
            assertThat(Double.parseDouble(take(waiting).headers.get("req-deadline")))
                    .isBetween(0.0, 5.0);
            client.close();
            assertThat(take(ended)).isEqualTo("a1");
            await("the state is released", () -> reader.count("DELETE /internal/reservations/a1") > 0);
            await("no request is open", () -> world.gateway.openRequests() == 0);
        }
    }

    /** Happened while engines were replaced: the release of a state could not reach its reader, which had stopped. */
    @Test
    void aReleaseThatItsEngineCannotReceiveIsSentToAnother() throws Exception {
        BlockingQueue<StandIn.Exchange> waiting = World.queue();
        try (StandIn reader = new StandIn(x -> {
                    if (x.method.equals("DELETE")) x.reset();
                    else x.reply(202, "{}");
                });
                StandIn writer = new StandIn(x -> {
                    if (x.method.equals("DELETE")) x.reply(204, "");
                    else waiting.add(x);
                });
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start();
                Socket client = world.connect()) {
            client.getOutputStream().write(request("a1", "lookup", "5.0").getBytes(StandardCharsets.UTF_8));
            take(waiting);
            reader.close();
            client.close();
            await(
                    "the release is sent to the other engine",
                    () -> writer.count("DELETE /internal/reservations/a1") > 0);
        }
    }

    @Test
    void aDrainingEngineGetsNoNewRequests() throws Exception {
        try (StandIn reader = World.reader();
                StandIn writer = World.writer();
                StandIn other = World.writer();
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w1", "decode", writer)
                        .engine("w2", "decode", other)
                        .start()) {
            world.engine("w1", "decode", writer, "terminating");
            world.awaitTold();
            long before = writer.count("POST");
            for (int i = 0; i < 10; i++) {
                assertThat(world.exchange(request("b" + i, "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            }
            assertThat(other.count("POST")).isGreaterThanOrEqualTo(10);
            assertThat(writer.count("POST")).isEqualTo(before);
        }
    }

    /** Guards against an answer that is held back until the requests sent behind it are answered too. */
    @Test
    void anAnswerDoesNotWaitForTheRequestsBehindIt() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = World.queue();
        try (StandIn reader = World.reader();
                StandIn writer = new StandIn(streams::add);
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start();
                Socket client = world.connect()) {
            client.setSoTimeout(20_000);
            String both = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n" + request("a1", "lookup", "60");
            client.getOutputStream().write(both.getBytes(StandardCharsets.UTF_8));
            StandIn.Exchange second = take(streams);
            assertThat(new String(client.getInputStream().readNBytes(15), StandardCharsets.UTF_8))
                    .isEqualTo("HTTP/1.1 200 OK");
            second.reply(503, "", "Srv-Declined: 1");
        }
    }

    @Test
    void aRequestSentDuringAStreamIsServedNext() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = World.queue();
        try (StandIn reader = World.reader();
                StandIn writer = new StandIn(streams::add);
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start();
                Socket client = world.connect()) {
            client.getOutputStream().write(request("a1", "lookup", "5.0").getBytes(StandardCharsets.UTF_8));
            StandIn.Exchange first = take(streams);
            String closing = request("a2", "lookup", "5.0").replaceFirst("\r\n", "\r\nConnection: close\r\n");
            client.getOutputStream().write(closing.getBytes(StandardCharsets.UTF_8));
            first.reply(200, "data: one\n\ndata: [DONE]\n\n");
            take(streams).reply(200, "data: two\n\ndata: [DONE]\n\n");
            assertThat(World.readAll(client.getInputStream())).contains("data: one\n\n", "data: two\n\n");
        }
    }

    @Test
    void aRequestWithTheIdOfAnOpenRequestIsRejected() throws Exception {
        BlockingQueue<StandIn.Exchange> waiting = World.queue();
        try (StandIn reader = new StandIn(x -> {
                    waiting.add(x);
                    x.awaitEnd();
                });
                World world = new World().engine("r", "prefill", reader).start();
                Socket first = world.connect()) {
            first.getOutputStream().write(request("a1", "lookup", "5.0").getBytes(StandardCharsets.UTF_8));
            take(waiting);
            assertThat(world.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 409");
        }
    }
}
