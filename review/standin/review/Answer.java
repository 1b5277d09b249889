package review;

import com.fasterxml.jackson.databind.JsonNode;

/** A response with a JSON body. */
record Answer(int code, JsonNode body) {

}
