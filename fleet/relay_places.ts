/**
 * Places whose boxes relay calls to their leafs: other regions, and other data centres of this
 * region. Relaying saves charged traffic between them, and only a few boxes close to a leaf keep
 * connections to it.
 *
 * @module
 */
import type { Distance, Leaf } from "../leafs/mod.js";
import type { Member } from "../model/mod.js";

/** Options of the relay places. */
export interface RelayPlacesOptions {
  /** Data centre of this box. */
  readonly dataCentre: string;
  /** Returns the region of a data centre. */
  readonly regionOf: (dataCentre: string) => string;
  /** Returns the boxes that serve a region. */
  readonly servingBoxes: (region: string) => ReadonlyArray<Member>;
}

/** Relay places from the position of one box. */
export class RelayPlaces {
  readonly #options: RelayPlacesOptions;

  /**
   * @param options - Options of the relay places.
   */
  constructor(options: RelayPlacesOptions) {
    this.#options = options;
  }

  /**
   * Returns the distance of a leaf from this box.
   *
   * @param leaf - The leaf.
   * @returns The distance.
   */
  distance({ dataCentre }: Pick<Leaf, "dataCentre">): Distance {
    if (dataCentre === this.#options.dataCentre) {
      return "zone";
    }
    return this.isLocal(dataCentre) ? "region" : "remote";
  }

  /**
   * Returns whether a data centre is in this box's region.
   *
   * @param dataCentre - Name of the data centre.
   * @returns Whether it is in this region.
   */
  isLocal(dataCentre: string): boolean {
    const { regionOf } = this.#options;
    return regionOf(dataCentre) === regionOf(this.#options.dataCentre);
  }

  /**
   * Returns the place whose boxes can relay calls to a leaf.
   *
   * @param leaf - The leaf.
   * @returns The place, or `undefined` if the leaf is in this data centre.
   */
  placeOf(leaf: Pick<Leaf, "dataCentre">): string | undefined {
    return PLACE_FORMATTERS[this.distance(leaf)](leaf.dataCentre, this.#options.regionOf);
  }

  /**
   * Returns the boxes of a place that can relay calls.
   *
   * @param place - A place returned by `placeOf()`.
   * @returns The serving boxes of the place.
   */
  boxesAt(place: string): ReadonlyArray<Member> {
    const { dataCentre, regionOf, servingBoxes } = this.#options;
    if (place.startsWith(REGION_PREFIX)) {
      return servingBoxes(place.slice(REGION_PREFIX.length));
    }
    const name = place.slice(DATA_CENTRE_PREFIX.length);
    return servingBoxes(regionOf(dataCentre)).filter((member) => member.dataCentre === name);
  }
}

/** Prefixes that distinguish a region from a data centre of the same name. */
const REGION_PREFIX = "region ";
const DATA_CENTRE_PREFIX = "data centre ";

const PLACE_FORMATTERS: Readonly<
  Record<
    Distance,
    (dataCentre: string, regionOf: (dataCentre: string) => string) => string | undefined
  >
> = {
  zone: () => undefined,
  region: (dataCentre) => `${DATA_CENTRE_PREFIX}${dataCentre}`,
  remote: (dataCentre, regionOf) => `${REGION_PREFIX}${regionOf(dataCentre)}`,
};
