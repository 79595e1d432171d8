package io.fireflywalk.services.codec;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.cfg.MapperBuilder;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;

/** Strict codec for records in JSON or YAML. Rejects unknown fields and missing fields that are not optional. Thread-safe. */
public final class Codec {
    private static final Codec JSON = new Codec(configureStrict(JsonMapper.builder()));
    private static final Codec YAML = new Codec(configureStrict(YAMLMapper.builder()
            .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
            .enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
            .disable(YAMLGenerator.Feature.SPLIT_LINES)));

    private final ObjectMapper mapper;

    private Codec(ObjectMapper mapper) {
        this.mapper = mapper;
    }

    public static Codec json() {
        return JSON;
    }

    public static Codec yaml() {
        return YAML;
    }

    /** Serializes a record. */
    public String write(Object value) {
        try {
            return mapper.writeValueAsString(value);
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException(
                    "cannot encode " + value.getClass().getName(), exception);
        }
    }

    /** Parses a record; the location identifies the source in error messages. */
    public <T> T read(String text, Class<T> type, String location) throws FireflywalkException {
        try {
            T value = mapper.readValue(text, type);
            if (value == null) {
                throw new FireflywalkException(ErrorKind.INVALID_JSON, "document is empty", location);
            }
            return value;
        } catch (JsonProcessingException exception) {
            throw new FireflywalkException(
                    ErrorKind.INVALID_JSON,
                    exception.getOriginalMessage(),
                    describeLocation(exception, location),
                    exception);
        }
    }

    /** Returns the mapper, for callers that need its streaming API. */
    public ObjectMapper mapper() {
        return mapper;
    }

    private static String describeLocation(JsonProcessingException exception, String location) {
        StringBuilder description = new StringBuilder(location);
        if (exception instanceof JsonMappingException mapping
                && !mapping.getPath().isEmpty()) {
            description.append(", field ").append(fieldPath(mapping));
        }
        JsonLocation position = exception.getLocation();
        if (position != null) {
            description.append(", line ").append(position.getLineNr());
            description.append(", column ").append(position.getColumnNr());
        }
        return description.toString();
    }

    private static String fieldPath(JsonMappingException exception) {
        StringBuilder path = new StringBuilder();
        for (JsonMappingException.Reference reference : exception.getPath()) {
            if (reference.getFieldName() == null) {
                path.append('[').append(reference.getIndex()).append(']');
            } else {
                path.append(path.isEmpty() ? "" : ".").append(reference.getFieldName());
            }
        }
        return path.toString();
    }

    private static <M extends ObjectMapper, B extends MapperBuilder<M, B>> ObjectMapper configureStrict(
            MapperBuilder<M, B> builder) {
        return builder.addModule(new Jdk8Module())
                .addModule(new JavaTimeModule())
                .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
                .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
                .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                .build();
    }
}
