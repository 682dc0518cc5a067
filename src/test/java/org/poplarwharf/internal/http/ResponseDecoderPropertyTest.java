package org.poplarwharf.internal.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.poplarwharf.internal.response.BrokenResponseException;
import org.poplarwharf.internal.response.ResponseVerifier;
import org.poplarwharf.support.MutatedResponses;

/**
 * Guards against responses that the verifier and Netty's decoder delimit in different ways, so that a part of one would be read
 * as another.
 */
class ResponseDecoderPropertyTest {
    @Provide
    Arbitrary<String> mutatedResponses() {
        return MutatedResponses.arbitrary();
    }

    @Property(tries = 5_000)
    void decoder_refuses_a_response_or_ends_it_where_the_verifier_does(@ForAll("mutatedResponses") String response) {
        byte[] bytes = response.getBytes(StandardCharsets.ISO_8859_1);
        ResponseVerifier verifier = new ResponseVerifier();
        ResponseVerifier.Result result = verifier.verify(ByteBuffer.wrap(bytes));

        Decoded decoded = decode(bytes);

        if (result.failure().isPresent()) {
            assertThat(decoded.endCount).isZero();
        } else if (verifier.isComplete()) {
            assertThat(decoded.endCount > 0 || decoded.refused).isTrue();
        } else {
            assertThat(decoded.endCount).isZero();
        }
        assertThat(decoded.interimCount).isZero();
    }

    /** What the decoder made of the first response. */
    private static final class Decoded {
        private int endCount;
        private int interimCount;
        private boolean refused;
    }

    private static Decoded decode(byte[] bytes) {
        ResponseDecoder decoder = new ResponseDecoder(new HttpDecoderConfig(), (peer, reason) -> {});
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        decoder.expectResponse(HttpMethod.GET, channel.newSucceededFuture());
        Decoded decoded = new Decoded();
        try {
            channel.writeInbound(Unpooled.wrappedBuffer(bytes));
        } catch (Exception e) {
            assertThat(e).isInstanceOf(BrokenResponseException.class);
        }
        for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
            HttpObject object = (HttpObject) message;
            decoded.refused |= object.decoderResult().isFailure();
            if (object instanceof HttpResponse head && head.status().code() < 200) {
                decoded.interimCount++;
            }
            if (object instanceof LastHttpContent && object.decoderResult().isSuccess()) {
                decoded.endCount++;
            }
            ReferenceCountUtil.release(message);
        }
        channel.close();
        return decoded;
    }
}
