/**
 * Places at which boxes ask leafs for others: the other regions, and the other data centres of the own
 * region. Bytes between both have a price, and a few boxes near a leaf keep their connections to it.
 *
 * @module
 */
import type { Distance, Leaf } from "../leafs/mod.js";
import type { Member } from "../model/mod.js";

/** What the places are made from. */
export interface RelayPlacesOptions {
  /** Data centre of this box. */
  readonly dataCentre: string;
  readonly regionOf: (dataCentre: string) => string;
  /** Boxes that serve a region. */
  readonly servingBoxes: (region: string) => ReadonlyArray<Member>;
}

/** The places as one box sees them. */
export class RelayPlaces {
  readonly #options: RelayPlacesOptions;

  /**
   * @param options - What the places are made from.
   */
  constructor(options: RelayPlacesOptions) {
    this.#options = options;
  }

  /**
   * Tells how far a leaf is.
   *
   * @param leaf - The leaf.
   * @returns Its distance from this box.
   */
  distance({ dataCentre }: Pick<Leaf, "dataCentre">): Distance {
    if (dataCentre === this.#options.dataCentre) {
      return "zone";
    }
    return this.isLocal(dataCentre) ? "region" : "remote";
  }

  /**
   * Tells whether a data centre is in this box's region.
   *
   * @param dataCentre - The data centre.
   * @returns Whether it is.
   */
  isLocal(dataCentre: string): boolean {
    const { regionOf } = this.#options;
    return regionOf(dataCentre) === regionOf(this.#options.dataCentre);
  }

  /**
   * Names the place at which a box may ask a leaf for this one.
   *
   * @param leaf - The leaf.
   * @returns The place, or nothing for a leaf of the own data centre.
   */
  placeOf(leaf: Pick<Leaf, "dataCentre">): string | undefined {
    return PLACE_NAMES[this.distance(leaf)](leaf.dataCentre, this.#options.regionOf);
  }

  /**
   * Lists the boxes at a place that can be asked.
   *
   * @param place - The place, as `placeOf()` names it.
   * @returns The boxes.
   */
  boxesAt(place: string): ReadonlyArray<Member> {
    const { dataCentre, regionOf, servingBoxes } = this.#options;
    if (place.startsWith(REGION)) {
      return servingBoxes(place.slice(REGION.length));
    }
    const wanted = place.slice(DATA_CENTRE.length);
    return servingBoxes(regionOf(dataCentre)).filter((member) => member.dataCentre === wanted);
  }
}

/** What a place's name begins with; a region and a data centre may be called alike. */
const REGION = "region ";
const DATA_CENTRE = "data centre ";

const PLACE_NAMES: Readonly<
  Record<
    Distance,
    (dataCentre: string, regionOf: (dataCentre: string) => string) => string | undefined
  >
> = {
  zone: () => undefined,
  region: (dataCentre) => `${DATA_CENTRE}${dataCentre}`,
  remote: (dataCentre, regionOf) => `${REGION}${regionOf(dataCentre)}`,
};
